package org.mulberrycross.engine.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.PeerException;
import org.mulberrycross.engine.CrashCandidate;
import org.mulberrycross.engine.CrashEvent;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against events that other daemons read differently, and against objects of other
 * writers.
 */
class CrashEventCodecTest {

	private static final CrashEvent LOSS = new CrashEvent.EngineLost("i-1",
			List.of(new CrashCandidate(Map.of("a1", 1, "b2", 2)), new CrashCandidate(Map.of("c3", 1))));

	/** Fails if an event changes on its way through the store. */
	@Test
	void decodesWhatItEncodes() throws Exception {
		for (CrashEvent event : List.of(LOSS, new CrashEvent.PartBegun("a1"), new CrashEvent.TrialClaimed("a1", 3))) {
			byte[] json = CrashEventCodec.encode(event, 1234);
			assertThat(CrashEventCodec.decode(json)).isEqualTo(event);
			assertThat(CrashEventCodec.decodeTimeMillis(json)).isEqualTo(1234);
		}
	}

	/** Fails if an object that is no event is taken for one. */
	@ParameterizedTest
	@ValueSource(strings = { "", "null", "[]", "{}", "{\"event\":\"other\"}", "{\"event\":\"part_begun\"}",
			"{\"event\":\"engine_lost\",\"engine\":\"i\",\"crash_numbers\":[{\"a\":-1}]}",
			"{\"event\":\"engine_lost\",\"engine\":\"i\",\"crash_numbers\":[{\"a\":99999999999}]}",
			"{\"event\":\"trial_claimed\",\"part\":\"a\",\"crash_count\":\"2\"}" })
	void rejectsInvalidEvents(String json) {
		assertThrows(PeerException.class, () -> CrashEventCodec.decode(json.getBytes(StandardCharsets.UTF_8)));
	}

	/** Fails if malformed bytes cause an exception of another kind. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void rejectsFuzzedBytesWithOneKindOfError(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		for (int round = 0; round < 2000; round++) {
			byte[] json = CrashEventCodec.encode(LOSS, 1);
			for (int change = 0; change <= random.nextInt(4); change++) {
				json[random.nextInt(json.length)] = (byte) random.nextInt(256);
			}
			try {
				CrashEventCodec.decode(json);
			}
			catch (PeerException ex) {
				assertThat(ex).hasMessageThat().isNotEmpty();
			}
		}
	}

}
