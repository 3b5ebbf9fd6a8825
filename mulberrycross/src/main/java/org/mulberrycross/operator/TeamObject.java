package org.mulberrycross.operator;

import java.util.List;
import java.util.Objects;

/**
 * A team that sends requests with its own API key. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param keySha256 the SHA-256 digest of the team's API key, in lower-case hexadecimal
 * @param weight the team's weight in the fair queues, 1 or more
 * @param maxConcurrent the maximum number of concurrent requests over all daemons
 * @param pipelines the pipelines and services that the team may use; null means none
 */
public record TeamObject(String name, String keySha256, int weight, int maxConcurrent,
		List<String> pipelines) implements OperatorObject {

	/**
	 * Creates a team.
	 * @param name the name, not null
	 * @param keySha256 the SHA-256 digest of the team's API key; null means empty
	 * @param weight the team's weight in the fair queues
	 * @param maxConcurrent the maximum number of concurrent requests over all daemons
	 * @param pipelines the pipelines and services that the team may use; null means none
	 */
	public TeamObject {
		Objects.requireNonNull(name, "name");
		keySha256 = Objects.requireNonNullElse(keySha256, "");
		pipelines = (pipelines != null) ? List.copyOf(pipelines) : List.of();
	}

	/**
	 * Returns whether the team may use a pipeline or service.
	 * @param target the name of the pipeline or service, not null
	 * @return true if the target is one of the pipelines and services of this team
	 */
	public boolean mayUse(String target) {
		return this.pipelines.contains(target);
	}

	@Override
	public ObjectKind kind() {
		return ObjectKind.TEAM;
	}

}
