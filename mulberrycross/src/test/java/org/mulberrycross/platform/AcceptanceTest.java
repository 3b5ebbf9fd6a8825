package org.mulberrycross.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import org.mulberrycross.operator.ModelObject;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.PipelineObject;
import org.mulberrycross.operator.TeamObject;
import org.mulberrycross.operator.ValidationError;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests the decision on which edits are accepted.
 */
class AcceptanceTest {

	private static final ModelObject MODEL = new ModelObject("m", 4, List.of("v1"), List.of());

	private static final PipelineObject PIPELINE = new PipelineObject("p", "m", "v1", "", 10, 10);

	private static OperatorEdit put(long version, OperatorObject object) {
		return new OperatorEdit.Put(object.key(), version, object);
	}

	private static TeamObject team(String name, int keyNumber) {
		return new TeamObject(name, String.format("%064x", keyNumber), 1, 1, List.of());
	}

	private static AcceptedSet acceptedSet(long revision, OperatorObject... objects) {
		TreeMap<String, AcceptedObject> objectsByKey = new TreeMap<>();
		for (OperatorObject object : objects) {
			objectsByKey.put(object.key(), new AcceptedObject(revision, object));
		}
		return new AcceptedSet(1, revision, objectsByKey);
	}

	private static List<String> rejectedKeys(Acceptance acceptance) {
		return acceptance.rejections().stream().map((rejection) -> rejection.edit().key()).toList();
	}

	/** Fails if an edit that refers to an object of a later edit is rejected. */
	@Test
	void acceptsMutuallyDependentEdits() {
		Acceptance acceptance = Acceptance.decide(AcceptedSet.empty(), 9,
				List.of(put(1, PIPELINE), put(2, MODEL), put(3, new TeamObject("t", "bad", 1, 1, List.of()))));
		assertThat(acceptance.next().objects().keySet()).containsExactly("model/m", "pipeline/p");
		assertThat(rejectedKeys(acceptance)).containsExactly("team/t");
	}

	/** Fails if the later of two conflicting edits is accepted instead of the earlier. */
	@Test
	void acceptsEarlierOfTwoConflictingEdits() {
		Acceptance acceptance = Acceptance.decide(AcceptedSet.empty(), 9,
				List.of(put(5, team("a", 1)), put(4, team("b", 1))));
		assertThat(acceptance.next().objects().keySet()).containsExactly("team/b");
		assertThat(rejectedKeys(acceptance)).containsExactly("team/a");
		assertThat(acceptance.rejections().get(0).errors()).isNotEmpty();
	}

	/** Fails if the deletion of an object that another one refers to is accepted. */
	@Test
	void rejectsDeletionOfReferencedObject() {
		Acceptance acceptance = Acceptance.decide(acceptedSet(3, MODEL, PIPELINE), 9, List.of(put(3, PIPELINE)));
		assertThat(acceptance.next().generation()).isEqualTo(1);
		assertThat(rejectedKeys(acceptance)).containsExactly("model/m");
		assertThat(acceptance.rejections().get(0).errors().get(0).key()).isEqualTo("pipeline/p");
	}

	/**
	 * Fails if an edit that cannot be decoded blocks other edits or removes the accepted
	 * version of its object.
	 */
	@Test
	void keepsAcceptedVersionOfUnreadableObject() {
		ValidationError error = new ValidationError("model/m", "object", "not JSON");
		Acceptance acceptance = Acceptance.decide(acceptedSet(3, MODEL), 9,
				List.of(new OperatorEdit.Unreadable("model/m", 7, error), put(8, PIPELINE)));
		assertThat(acceptance.next().objects().get("model/m").version()).isEqualTo(3);
		assertThat(acceptance.next().objects()).containsKey("pipeline/p");
		assertThat(acceptance.rejections().get(0).errors()).containsExactly(error);
	}

	/** Fails if edits read at a revision before the accepted set can revert it. */
	@Test
	void rejectsOutdatedRevision() {
		assertThrows(IllegalArgumentException.class, () -> Acceptance.decide(acceptedSet(3, MODEL), 2, List.of()));
	}

	/** Fails if invalid edits among many prevent the valid ones from being accepted. */
	@Test
	void acceptsAllExceptInvalidEdits() {
		List<OperatorEdit> edits = new ArrayList<>();
		for (int i = 1; i <= 1000; i++) {
			edits.add(put(i, (i % 100 == 0) ? new TeamObject("t" + i, "bad", 1, 1, List.of()) : team("t" + i, i)));
		}
		Acceptance acceptance = Acceptance.decide(AcceptedSet.empty(), 1000, edits);
		assertThat(acceptance.next().objects()).hasSize(990);
		assertThat(acceptance.rejections()).hasSize(10);
	}

}
