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
import org.mulberrycross.operator.ObjectStatus;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.StatusReport;
import org.mulberrycross.operator.ValidationError;

/**
 * Reads and edits the operators' objects in the object API. Edits are conditional on the
 * versions that were read when the workspace was opened. Not thread-safe.
 */
public final class OperatorWorkspace {

	private final ObjectStore store;

	private final ConfigurationCodec codec;

	private final Map<String, OperatorEdit> edits = new TreeMap<>();

	private OperatorWorkspace(ObjectStore store, ConfigurationCodec codec) {
		this.store = Objects.requireNonNull(store, "store");
		this.codec = Objects.requireNonNull(codec, "codec");
	}

	/**
	 * Opens a workspace and reads the operators' objects.
	 * @param store the object API, not null
	 * @param codec encodes and decodes objects, not null
	 * @return the workspace
	 * @throws PeerException if a call to the store fails
	 */
	public static OperatorWorkspace open(ObjectStore store, ConfigurationCodec codec) throws PeerException {
		OperatorWorkspace workspace = new OperatorWorkspace(store, codec);
		ObjectMirror mirror = new ObjectMirror(store, codec);
		mirror.refresh(Duration.ZERO);
		for (OperatorEdit edit : mirror.edits()) {
			if (!(edit instanceof OperatorEdit.Deleted)) {
				workspace.edits.put(edit.key(), edit);
			}
		}
		return workspace;
	}

	/**
	 * Returns the operators' objects as read at opening, updated by later puts through
	 * this workspace.
	 * @return the objects, ordered by key, including those that cannot be decoded
	 */
	public List<OperatorEdit> objects() {
		return List.copyOf(this.edits.values());
	}

	/**
	 * Finds the errors that the given edits would add to the configuration.
	 * @param puts the objects to create or replace, not null
	 * @param deletions the keys to delete, not null
	 * @return the errors, empty if the edits add none
	 */
	public List<ValidationError> findNewErrors(List<OperatorObject> puts, Set<String> deletions) {
		Map<String, OperatorObject> objects = new HashMap<>();
		for (OperatorEdit edit : this.edits.values()) {
			if (edit instanceof OperatorEdit.Put put) {
				objects.put(put.key(), put.object());
			}
		}
		Set<ValidationError> existingErrors = new HashSet<>(
				ConfigurationValidator.validate(Configuration.of(0, objects.values())));
		puts.forEach((object) -> objects.put(object.key(), object));
		objects.keySet().removeAll(deletions);
		return ConfigurationValidator.validate(Configuration.of(0, objects.values()))
			.stream()
			.filter((error) -> !existingErrors.contains(error))
			.toList();
	}

	/**
	 * Creates or replaces an object. If the response is lost, reads the object back to
	 * find out whether the write took effect.
	 * @param object the object, not null
	 * @return the new version, or empty if the object was edited since it was read
	 * @throws PeerException if a call to the store fails
	 */
	public OptionalLong put(OperatorObject object) throws PeerException {
		byte[] value = this.codec.encodeObject(object);
		OperatorEdit previous = this.edits.get(object.key());
		OptionalLong expectedVersion = (previous != null) ? OptionalLong.of(previous.version()) : OptionalLong.empty();
		OptionalLong version = ConditionalWrite.write(this.store, object.key(), value, expectedVersion,
				(storedValue) -> Arrays.equals(storedValue, value));
		version.ifPresent(
				(newVersion) -> this.edits.put(object.key(), new OperatorEdit.Put(object.key(), newVersion, object)));
		return version;
	}

	/**
	 * Deletes an object. If the response is lost, reads the object back to find out
	 * whether the deletion took effect.
	 * @param key the key of the object, not null
	 * @return false if the object does not exist or was edited since it was read
	 * @throws PeerException if a call to the store fails
	 */
	public boolean delete(String key) throws PeerException {
		OperatorEdit previous = this.edits.get(key);
		if (previous == null) {
			return false;
		}
		try {
			return this.store.delete(key, previous.version());
		}
		catch (OutcomeUnknownException ex) {
			return this.store.read(key).isEmpty();
		}
	}

	/**
	 * Reads the status of all objects, including deleted ones that are still accepted.
	 * @return the report
	 * @throws PeerException if a call to the store fails
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
		for (OperatorEdit edit : this.edits.values()) {
			AcceptedObject acceptedObject = accepted.remove(edit.key());
			boolean isAccepted = acceptedObject != null && acceptedObject.version() == edit.version();
			statuses
				.add(isAccepted ? new ObjectStatus(edit.key(), edit.version(), ObjectStatus.State.ACCEPTED, List.of())
						: readRejectedOrPendingStatus(edit.key(), edit.version()));
		}
		for (Map.Entry<String, AcceptedObject> deleted : accepted.entrySet()) {
			statuses.add(readRejectedOrPendingStatus(deleted.getKey(), deleted.getValue().version()));
		}
		return new StatusReport(snapshot.head().generation(), statuses);
	}

	private ObjectStatus readRejectedOrPendingStatus(String key, long version) throws PeerException {
		Optional<StoredObject> status = this.store.read(RejectionStatus.statusKey(key));
		if (status.isPresent()) {
			ObjectStatus rejected = this.codec.decode(status.get().value(), ObjectStatus.class);
			if (rejected.version() >= version) {
				return rejected;
			}
		}
		return new ObjectStatus(key, version, ObjectStatus.State.PENDING, List.of());
	}

}
