package org.mulberrycross.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import org.mulberrycross.operator.Fault;
import org.mulberrycross.operator.ModelObject;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.PipelineObject;
import org.mulberrycross.operator.TeamObject;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards the decision on which edits are accepted.
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

	private static AcceptedSet accepted(long revision, OperatorObject... objects) {
		TreeMap<String, AcceptedObject> map = new TreeMap<>();
		for (OperatorObject object : objects) {
			map.put(object.key(), new AcceptedObject(revision, object));
		}
		return new AcceptedSet(1, revision, map);
	}

	private static List<String> rejected(Acceptance acceptance) {
		return acceptance.rejections().stream().map((rejection) -> rejection.edit().key()).toList();
	}

	/** Fails if an edit that refers to a later edit is rejected. */
	@Test
	void acceptsEditsThatNeedOneAnother() {
		Acceptance acceptance = Acceptance.decide(AcceptedSet.empty(), 9,
				List.of(put(1, PIPELINE), put(2, MODEL), put(3, new TeamObject("t", "bad", 1, 1, List.of()))));
		assertThat(acceptance.next().objects().keySet()).containsExactly("model/m", "pipeline/p");
		assertThat(rejected(acceptance)).containsExactly("team/t");
	}

	/** Fails if the later of two edits that contradict each other wins. */
	@Test
	void acceptsTheFirstOfTwoContradictingEdits() {
		Acceptance acceptance = Acceptance.decide(AcceptedSet.empty(), 9,
				List.of(put(5, team("a", 1)), put(4, team("b", 1))));
		assertThat(acceptance.next().objects().keySet()).containsExactly("team/b");
		assertThat(rejected(acceptance)).containsExactly("team/a");
		assertThat(acceptance.rejections().get(0).faults()).isNotEmpty();
	}

	/** Fails if a deletion leaves a reference that does not resolve. */
	@Test
	void rejectsDeletionOfReferencedObject() {
		Acceptance acceptance = Acceptance.decide(accepted(3, MODEL, PIPELINE), 9, List.of(put(3, PIPELINE)));
		assertThat(acceptance.next().generation()).isEqualTo(1);
		assertThat(rejected(acceptance)).containsExactly("model/m");
		assertThat(acceptance.rejections().get(0).faults().get(0).key()).isEqualTo("pipeline/p");
	}

	/** Fails if an unreadable object blocks others or removes its accepted version. */
	@Test
	void keepsAcceptedVersionOfUnreadableObject() {
		Fault fault = new Fault("model/m", "object", "not JSON");
		Acceptance acceptance = Acceptance.decide(accepted(3, MODEL), 9,
				List.of(new OperatorEdit.Unreadable("model/m", 7, fault), put(8, PIPELINE)));
		assertThat(acceptance.next().objects().get("model/m").version()).isEqualTo(3);
		assertThat(acceptance.next().objects()).containsKey("pipeline/p");
		assertThat(acceptance.rejections().get(0).faults()).containsExactly(fault);
	}

	/** Fails if edits older than the accepted set could revert it. */
	@Test
	void refusesOldRevision() {
		assertThrows(IllegalArgumentException.class, () -> Acceptance.decide(accepted(3, MODEL), 2, List.of()));
	}

	/** Fails if one invalid object among many keeps the others from being accepted. */
	@Test
	void acceptsAllButTheInvalidEdits() {
		List<OperatorEdit> edits = new ArrayList<>();
		for (int i = 1; i <= 1000; i++) {
			edits.add(put(i, (i % 100 == 0) ? new TeamObject("t" + i, "bad", 1, 1, List.of()) : team("t" + i, i)));
		}
		Acceptance acceptance = Acceptance.decide(AcceptedSet.empty(), 1000, edits);
		assertThat(acceptance.next().objects()).hasSize(990);
		assertThat(acceptance.rejections()).hasSize(10);
	}

}
