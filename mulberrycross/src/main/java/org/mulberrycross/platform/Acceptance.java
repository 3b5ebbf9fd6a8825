package org.mulberrycross.platform;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import org.mulberrycross.operator.ConfigurationValidator;
import org.mulberrycross.operator.ValidationError;

/**
 * Decision on which edits of operators are accepted. Immutable and thread-safe.
 *
 * @param next the accepted set after the decision; the same instance as before if nothing
 * is accepted
 * @param rejections the edits that are not accepted
 */
public record Acceptance(AcceptedSet next, List<Rejection> rejections) {

	/**
	 * Creates a decision.
	 * @param next the accepted set after the decision, not null
	 * @param rejections the edits that are not accepted, not null
	 */
	public Acceptance {
		Objects.requireNonNull(next, "next");
		rejections = List.copyOf(rejections);
	}

	/**
	 * Decides which edits are accepted. Validates all edits since the accepted set
	 * together. If the result is invalid, bisects the edits, ordered by version, down to
	 * single edits, and repeats this until a round accepts nothing more. One invalid edit
	 * among n then costs about log n validations, whereas validating each edit separately
	 * would cost n.
	 * @param accepted the set accepted so far, not null
	 * @param revision the revision of the object API at which the edits were read;
	 * rejected if it is below that of the accepted set, since edits could be missing
	 * @param edits the latest edit of each key, not null; a key without an edit is
	 * treated as deleted
	 * @return the decision
	 * @throws IllegalArgumentException if the revision is below that of the accepted set
	 */
	public static Acceptance decide(AcceptedSet accepted, long revision, Collection<OperatorEdit> edits) {
		if (revision < accepted.revision()) {
			throw new IllegalArgumentException("edits at revision " + revision
					+ " are older than the accepted set at revision " + accepted.revision());
		}
		List<OperatorEdit> pending = findPendingEdits(accepted, revision, edits);
		Set<ValidationError> existingErrors = new HashSet<>(ConfigurationValidator.validate(accepted.configuration()));
		AcceptedSet base = new AcceptedSet(accepted.generation() + 1, revision, accepted.objects());
		List<OperatorEdit> remaining = pending.stream()
			.filter((edit) -> !(edit instanceof OperatorEdit.Unreadable))
			.toList();
		List<Rejection> failed = new ArrayList<>();
		AcceptedSet current = base;
		int previousCount;
		do {
			previousCount = remaining.size();
			failed.clear();
			current = acceptByBisection(current, remaining, existingErrors, failed);
			remaining = failed.stream().map(Rejection::edit).toList();
		}
		while (!remaining.isEmpty() && remaining.size() < previousCount);
		List<Rejection> rejections = new ArrayList<>();
		for (OperatorEdit edit : pending) {
			if (edit instanceof OperatorEdit.Unreadable unreadable) {
				rejections.add(new Rejection(edit, List.of(unreadable.error())));
			}
		}
		// The last round accepted nothing, so its errors apply to the final set.
		rejections.addAll(failed);
		boolean changed = !current.objects().equals(accepted.objects());
		return new Acceptance(changed ? current : accepted, rejections);
	}

	private static List<OperatorEdit> findPendingEdits(AcceptedSet accepted, long revision,
			Collection<OperatorEdit> edits) {
		List<OperatorEdit> pending = new ArrayList<>();
		Set<String> editedKeys = new HashSet<>();
		for (OperatorEdit edit : edits) {
			editedKeys.add(edit.key());
			AcceptedObject acceptedObject = accepted.objects().get(edit.key());
			boolean newer = (acceptedObject != null) ? edit.version() > acceptedObject.version()
					: !(edit instanceof OperatorEdit.Deleted);
			if (newer) {
				pending.add(edit);
			}
		}
		for (String key : accepted.objects().keySet()) {
			if (!editedKeys.contains(key)) {
				pending.add(new OperatorEdit.Deleted(key, revision));
			}
		}
		pending.sort(Comparator.comparingLong(OperatorEdit::version));
		return pending;
	}

	private static AcceptedSet acceptByBisection(AcceptedSet base, List<OperatorEdit> edits,
			Set<ValidationError> existingErrors, List<Rejection> failed) {
		if (edits.isEmpty()) {
			return base;
		}
		AcceptedSet candidate = applyEdits(base, edits);
		List<ValidationError> errors = findNewErrors(candidate, existingErrors);
		if (errors.isEmpty()) {
			return candidate;
		}
		if (edits.size() == 1) {
			failed.add(new Rejection(edits.get(0), errors));
			return base;
		}
		int middle = edits.size() / 2;
		AcceptedSet afterFirstHalf = acceptByBisection(base, edits.subList(0, middle), existingErrors, failed);
		return acceptByBisection(afterFirstHalf, edits.subList(middle, edits.size()), existingErrors, failed);
	}

	private static AcceptedSet applyEdits(AcceptedSet base, List<OperatorEdit> edits) {
		TreeMap<String, AcceptedObject> objects = new TreeMap<>(base.objects());
		for (OperatorEdit edit : edits) {
			if (edit instanceof OperatorEdit.Put put) {
				objects.put(put.key(), new AcceptedObject(put.version(), put.object()));
			}
			else {
				objects.remove(edit.key());
			}
		}
		return new AcceptedSet(base.generation(), base.revision(), objects);
	}

	/**
	 * Returns the errors of a set, without those that the accepted set already has, so
	 * that a daemon with newer and stricter validation rules can still accept edits that
	 * repair them.
	 */
	private static List<ValidationError> findNewErrors(AcceptedSet candidate, Set<ValidationError> existingErrors) {
		return ConfigurationValidator.validate(candidate.configuration())
			.stream()
			.filter((error) -> !existingErrors.contains(error))
			.toList();
	}

}
