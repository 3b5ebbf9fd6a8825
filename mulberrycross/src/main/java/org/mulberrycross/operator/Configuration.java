package org.mulberrycross.operator;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A set of operators' objects under one generation number. Immutable and thread-safe, so
 * that traffic threads read it without locks.
 */
public final class Configuration {

	private static final Configuration EMPTY = new Configuration(0, Map.of());

	private final long generation;

	private final Map<String, OperatorObject> objects;

	private final Map<String, TeamObject> teamsByKeyHash;

	private Configuration(long generation, Map<String, OperatorObject> objects) {
		this.generation = generation;
		this.objects = new TreeMap<>(objects);
		this.teamsByKeyHash = new HashMap<>();
		for (OperatorObject object : objects.values()) {
			if (object instanceof TeamObject team) {
				this.teamsByKeyHash.put(team.keySha256(), team);
			}
		}
	}

	/**
	 * Returns the configuration without objects, of generation 0.
	 * @return the empty configuration
	 */
	public static Configuration empty() {
		return EMPTY;
	}

	/**
	 * Creates a configuration.
	 * @param generation the generation, 0 or more
	 * @param objects the objects, not null; of several with the same key, the last one is
	 * used
	 * @return the configuration
	 * @throws IllegalArgumentException if the generation is negative
	 */
	public static Configuration of(long generation, Collection<? extends OperatorObject> objects) {
		Objects.requireNonNull(objects, "objects");
		if (generation < 0) {
			throw new IllegalArgumentException("generation " + generation + " is negative");
		}
		Map<String, OperatorObject> byKey = new HashMap<>();
		for (OperatorObject object : objects) {
			byKey.put(object.key(), object);
		}
		return new Configuration(generation, byKey);
	}

	/**
	 * Returns the generation number of this configuration.
	 * @return the generation, 0 if nothing was accepted yet
	 */
	public long generation() {
		return this.generation;
	}

	/**
	 * Returns all objects, ordered by key.
	 * @return the objects, unmodifiable
	 */
	public Collection<OperatorObject> objects() {
		return Collections.unmodifiableCollection(this.objects.values());
	}

	/**
	 * Finds a model by name.
	 * @param name the name, not null
	 * @return the model, or empty if there is none
	 */
	public Optional<ModelObject> model(String name) {
		return find(ObjectKind.MODEL, name, ModelObject.class);
	}

	/**
	 * Finds a pipeline by name.
	 * @param name the name, not null
	 * @return the pipeline, or empty if there is none
	 */
	public Optional<PipelineObject> pipeline(String name) {
		return find(ObjectKind.PIPELINE, name, PipelineObject.class);
	}

	/**
	 * Finds a team by name.
	 * @param name the name, not null
	 * @return the team, or empty if there is none
	 */
	public Optional<TeamObject> team(String name) {
		return find(ObjectKind.TEAM, name, TeamObject.class);
	}

	/**
	 * Finds a team by its API key.
	 * @param keySha256 the SHA-256 digest of the key in lower-case hexadecimal, not null
	 * @return the team, or empty if no team has that key
	 */
	public Optional<TeamObject> teamByKeyHash(String keySha256) {
		return Optional.ofNullable(this.teamsByKeyHash.get(keySha256));
	}

	/**
	 * Finds an upstream by name.
	 * @param name the name, not null
	 * @return the upstream, or empty if there is none
	 */
	public Optional<UpstreamObject> upstream(String name) {
		return find(ObjectKind.UPSTREAM, name, UpstreamObject.class);
	}

	private <T extends OperatorObject> Optional<T> find(ObjectKind kind, String name, Class<T> type) {
		return Optional.ofNullable(this.objects.get(kind.label() + "/" + name)).map(type::cast);
	}

}
