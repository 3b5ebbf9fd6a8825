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
import org.mulberrycross.operator.Fault;

/**
 * Decision on which edits of operators are accepted. Immutable and thread-safe.
 *
 * @param next the set after the decision; the same as before if nothing is accepted
 * @param rejections the edits that are not accepted
 */
public record Acceptance(AcceptedSet next, List<Rejection> rejections) {

	/**
	 * Creates a decision.
	 * @param next the set after the decision, not null
	 * @param rejections the edits that are not accepted, not null
	 */
	public Acceptance {
		Objects.requireNonNull(next, "next");
		rejections = List.copyOf(rejections);
	}

	/**
	 * Decides which edits are accepted. All edits since the accepted set are tried
	 * together. If they are not valid together, halves are tried down to single edits, in
	 * the order of their versions, and this is repeated until no more are accepted. One
	 * invalid edit among n then costs about log n validations, where trying every edit
	 * alone would cost n.
	 * @param accepted the set that is accepted so far, not null
	 * @param revision the revision that the edits show; an older one than that of the
	 * accepted set is refused, since edits could be missing from it
	 * @param edits the latest edit of each key, not null; a key without an edit counts as
	 * deleted
	 * @return the decision
	 * @throws IllegalArgumentException if the revision is older than that of the accepted
	 * set
	 */
	public static Acceptance decide(AcceptedSet accepted, long revision, Collection<OperatorEdit> edits) {
		if (revision < accepted.revision()) {
			throw new IllegalArgumentException(
					"edits at revision " + revision + " are older than the accepted set at " + accepted.revision());
		}
		List<OperatorEdit> pending = pending(accepted, revision, edits);
		Set<Fault> known = new HashSet<>(ConfigurationValidator.validate(accepted.configuration()));
		AcceptedSet target = new AcceptedSet(accepted.generation() + 1, revision, accepted.objects());
		List<OperatorEdit> left = pending.stream()
			.filter((edit) -> !(edit instanceof OperatorEdit.Unreadable))
			.toList();
		List<Rejection> refused = new ArrayList<>();
		AcceptedSet current = target;
		int before;
		do {
			before = left.size();
			refused.clear();
			current = tryTogether(current, left, known, refused);
			left = refused.stream().map(Rejection::edit).toList();
		}
		while (!left.isEmpty() && left.size() < before);
		List<Rejection> rejections = new ArrayList<>();
		for (OperatorEdit edit : pending) {
			if (edit instanceof OperatorEdit.Unreadable unreadable) {
				rejections.add(new Rejection(edit, List.of(unreadable.fault())));
			}
		}
		// The last round accepted nothing, so its faults are those against the final set.
		rejections.addAll(refused);
		boolean changed = !current.objects().equals(accepted.objects());
		return new Acceptance(changed ? current : accepted, rejections);
	}

	private static List<OperatorEdit> pending(AcceptedSet accepted, long revision, Collection<OperatorEdit> edits) {
		List<OperatorEdit> pending = new ArrayList<>();
		Set<String> seen = new HashSet<>();
		for (OperatorEdit edit : edits) {
			seen.add(edit.key());
			AcceptedObject known = accepted.objects().get(edit.key());
			boolean newer = (known != null) ? edit.version() > known.version()
					: !(edit instanceof OperatorEdit.Deleted);
			if (newer) {
				pending.add(edit);
			}
		}
		for (String key : accepted.objects().keySet()) {
			if (!seen.contains(key)) {
				pending.add(new OperatorEdit.Deleted(key, revision));
			}
		}
		pending.sort(Comparator.comparingLong(OperatorEdit::version));
		return pending;
	}

	private static AcceptedSet tryTogether(AcceptedSet base, List<OperatorEdit> edits, Set<Fault> known,
			List<Rejection> refused) {
		if (edits.isEmpty()) {
			return base;
		}
		AcceptedSet candidate = with(base, edits);
		List<Fault> faults = newFaults(candidate, known);
		if (faults.isEmpty()) {
			return candidate;
		}
		if (edits.size() == 1) {
			refused.add(new Rejection(edits.get(0), faults));
			return base;
		}
		int middle = edits.size() / 2;
		AcceptedSet first = tryTogether(base, edits.subList(0, middle), known, refused);
		return tryTogether(first, edits.subList(middle, edits.size()), known, refused);
	}

	private static AcceptedSet with(AcceptedSet base, List<OperatorEdit> edits) {
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
	 * Faults that the accepted set has already do not count, so that a daemon with newer
	 * and stricter rules can still accept edits that repair them.
	 */
	private static List<Fault> newFaults(AcceptedSet candidate, Set<Fault> known) {
		return ConfigurationValidator.validate(candidate.configuration())
			.stream()
			.filter((fault) -> !known.contains(fault))
			.toList();
	}

}
