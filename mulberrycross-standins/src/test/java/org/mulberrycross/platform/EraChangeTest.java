package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import org.mulberrycross.operator.ModelObject;
import org.mulberrycross.platform.http.JsonConfigurationCodec;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against edits that are missed, or never published, after the object API came
 * back from an older copy.
 */
class EraChangeTest {

	private static final ConfigurationCodec CODEC = new JsonConfigurationCodec();

	private static final Duration WAIT = Duration.ofMillis(1);

	private final EraStore store = new EraStore();

	private final AtomicLong tokens = new AtomicLong();

	private void put(String name) throws Exception {
		OperatorWorkspace.open(this.store, CODEC).put(new ModelObject(name, 4, List.of("v1"), List.of()));
	}

	/** Fails if edits below a revision that was given out again are missed. */
	@Test
	void mirrorListsAgainInNewEra() throws Exception {
		ObjectMirror mirror = new ObjectMirror(this.store, CODEC);
		put("kept");
		Collection<StoredObject> copy = this.store.copy();
		put("lost");
		mirror.refresh(WAIT);
		this.store.restore(copy);
		put("a");
		put("b");
		put("c");
		mirror.refresh(WAIT);
		assertThat(mirror.edits().stream().map(OperatorEdit::key)).containsExactly("model/a", "model/b", "model/c",
				"model/kept");
	}

	/** Fails if a head below a revision that was given out again is not applied. */
	@Test
	void headIsReadAgainInNewEra() throws Exception {
		ConfigurationFollower follower = new ConfigurationFollower(CODEC, (configuration) -> {
		});
		HeadWatch watch = new HeadWatch(this.store, follower);
		ConfigurationPublisher publisher = newPublisher();
		put("first");
		publisher.publishWithoutLease(WAIT);
		Collection<StoredObject> copy = this.store.copy();
		for (int i = 0; i < 10; i++) {
			put("lost" + i);
		}
		watch.poll(WAIT);
		watch.poll(WAIT);
		this.store.restore(copy);
		put("second");
		newPublisher().publishWithoutLease(WAIT);
		for (int i = 0; i < 20; i++) {
			put("later" + i);
		}
		watch.poll(WAIT);
		watch.poll(WAIT);
		assertThat(follower.generation()).isEqualTo(2);
	}

	/**
	 * Fails if a publisher goes on from a head that is lost, and never publishes again.
	 */
	@Test
	void publisherReadsHeadAgainInNewEra() throws Exception {
		ConfigurationPublisher publisher = newPublisher();
		put("kept");
		publisher.publishWithoutLease(WAIT);
		Collection<StoredObject> copy = this.store.copy();
		for (int i = 0; i < 10; i++) {
			put("lost" + i);
			publisher.publishWithoutLease(WAIT);
		}
		this.store.restore(copy);
		put("after");
		assertThat(publisher.publishWithoutLease(WAIT)).isTrue();
	}

	private ConfigurationPublisher newPublisher() {
		return new ConfigurationPublisher(this.store, CODEC, "publisher", System::nanoTime,
				() -> "token-" + this.tokens.incrementAndGet(), () -> true);
	}

}
