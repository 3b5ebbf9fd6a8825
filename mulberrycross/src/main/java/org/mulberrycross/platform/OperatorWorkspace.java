package org.mulberrycross.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.PeerException;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ConfigurationValidator;
import org.mulberrycross.operator.Fault;
import org.mulberrycross.operator.ObjectStatus;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.StatusReport;

/**
 * What operators do to their objects in the object API. Edits are conditional on the
 * versions that were read when the workspace was opened. Not thread-safe.
 */
public final class OperatorWorkspace {

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final Map<String, OperatorEdit> stored = new TreeMap<>();

	private OperatorWorkspace(ObjectStore store, ConfigurationCodec codec) {
		this.store = Objects.requireNonNull(store, "store");
		this.codec = Objects.requireNonNull(codec, "codec");
	}

	/**
	 * Reads the operators' objects.
	 * @param store the object API, not null
	 * @param codec encodes objects, not null
	 * @return the workspace
	 * @throws PeerException if the store does not answer
	 */
	public static OperatorWorkspace open(ObjectStore store, ConfigurationCodec codec) throws PeerException {
		OperatorWorkspace workspace = new OperatorWorkspace(store, codec);
		ObjectMirror mirror = new ObjectMirror(store, codec);
		mirror.refresh(Duration.ZERO);
		for (OperatorEdit edit : mirror.edits()) {
			if (!(edit instanceof OperatorEdit.Deleted)) {
				workspace.stored.put(edit.key(), edit);
			}
		}
		return workspace;
	}

	/**
	 * Returns the operators' objects as they were read.
	 * @return the objects in the order of their keys; unreadable ones are included
	 */
	public List<OperatorEdit> objects() {
		return List.copyOf(this.stored.values());
	}

	/**
	 * Finds the faults that edits would add.
	 * @param puts the objects to create or replace, not null
	 * @param deletions the keys to delete, not null
	 * @return the faults, empty if the edits add none
	 */
	public List<Fault> check(List<OperatorObject> puts, Set<String> deletions) {
		Map<String, OperatorObject> objects = new HashMap<>();
		for (OperatorEdit edit : this.stored.values()) {
			if (edit instanceof OperatorEdit.Put put) {
				objects.put(put.key(), put.object());
			}
		}
		Set<Fault> before = new HashSet<>(ConfigurationValidator.validate(Configuration.of(0, objects.values())));
		puts.forEach((object) -> objects.put(object.key(), object));
		objects.keySet().removeAll(deletions);
		return ConfigurationValidator.validate(Configuration.of(0, objects.values()))
			.stream()
			.filter((fault) -> !before.contains(fault))
			.toList();
	}

	/**
	 * Creates or replaces an object. A lost answer is settled by reading the object back.
	 * @param object the object, not null
	 * @return the new version, or empty if the object was edited since it was read
	 * @throws PeerException if the store does not answer
	 */
	public OptionalLong put(OperatorObject object) throws PeerException {
		byte[] value = this.codec.encodeObject(object);
		OperatorEdit known = this.stored.get(object.key());
		OptionalLong expected = (known != null) ? OptionalLong.of(known.version()) : OptionalLong.empty();
		OptionalLong version = ConditionalWrite.write(this.store, object.key(), value, expected,
				(read) -> Arrays.equals(read, value));
		version
			.ifPresent((written) -> this.stored.put(object.key(), new OperatorEdit.Put(object.key(), written, object)));
		return version;
	}

	/**
	 * Deletes an object. A lost answer is settled by reading the object back.
	 * @param key the key of the object, not null
	 * @return false if the object does not exist or was edited since it was read
	 * @throws PeerException if the store does not answer
	 */
	public boolean delete(String key) throws PeerException {
		OperatorEdit known = this.stored.get(key);
		if (known == null) {
			return false;
		}
		try {
			return this.store.delete(key, known.version());
		}
		catch (OutcomeUnknownException ex) {
			return this.store.read(key).isEmpty();
		}
	}

	/**
	 * Reads the status of all objects.
	 * @return the report
	 * @throws PeerException if the store does not answer
	 */
	public StatusReport status() throws PeerException {
		Optional<StoredObject> head = this.store.read(ConfigurationHead.KEY);
		ConfigurationSnapshot snapshot = ConfigurationSnapshot.empty();
		if (head.isPresent()) {
			snapshot = ConfigurationSnapshot.read(head.get().value(), this.codec, snapshot,
					SnapshotSource.of(this.store));
		}
		Map<String, AcceptedObject> accepted = new TreeMap<>(snapshot.accepted().objects());
		List<ObjectStatus> statuses = new ArrayList<>();
		for (OperatorEdit edit : this.stored.values()) {
			AcceptedObject known = accepted.remove(edit.key());
			boolean inForce = known != null && known.version() == edit.version();
			statuses.add(inForce ? new ObjectStatus(edit.key(), edit.version(), ObjectStatus.State.ACCEPTED, List.of())
					: undecided(edit.key(), edit.version()));
		}
		for (Map.Entry<String, AcceptedObject> deleted : accepted.entrySet()) {
			statuses.add(undecided(deleted.getKey(), deleted.getValue().version()));
		}
		return new StatusReport(snapshot.head().generation(), statuses);
	}

	private ObjectStatus undecided(String key, long version) throws PeerException {
		Optional<StoredObject> status = this.store.read(RejectionStatus.key(key));
		if (status.isPresent()) {
			ObjectStatus rejected = this.codec.decode(status.get().value(), ObjectStatus.class);
			if (rejected.version() >= version) {
				return rejected;
			}
		}
		return new ObjectStatus(key, version, ObjectStatus.State.PENDING, List.of());
	}

}
