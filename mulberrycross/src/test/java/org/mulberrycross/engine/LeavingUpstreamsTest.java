package org.mulberrycross.engine;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.UpstreamKind;
import org.mulberrycross.operator.UpstreamObject;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies that an upstream gets no new work once it is leaving, until it restarts.
 */
class LeavingUpstreamsTest {

	private final LeavingUpstreams leaving = new LeavingUpstreams();

	private final EngineTable engines = new EngineTable(this.leaving);

	/**
	 * Fails if a leaving upstream is used again in the same incarnation, or stays
	 * excluded after a restart. An unknown incarnation (0) means the current one.
	 */
	@ParameterizedTest
	@CsvSource({ "5, 5, 5, true", "5, 0, 5, true", "0, 0, 5, true", "5, 5, 4, true", "5, 5, 6, false", "5, 0, 6, false",
			"5, 4, 5, false", "5, 6, 5, true", "5, 6, 6, true" })
	void leavingIsPermanentForAnIncarnation(long firstSeen, long leavingIncarnation, long lastSeen, boolean expected) {
		this.leaving.recordIncarnation("e", firstSeen);
		this.leaving.markLeaving("e", leavingIncarnation);
		this.leaving.recordIncarnation("e", lastSeen);
		assertThat(this.leaving.isLeaving("e")).isEqualTo(expected);
	}

	/** Fails if a single one of the four sources does not stop new work. */
	@ParameterizedTest
	@CsvSource({ "object", "list", "load", "sibling" })
	void eachSourceAloneStopsNewWork(String source) {
		this.engines.configure(configuration(1, source.equals("object")));
		this.engines.acquire(List
			.of(new Stage("e", this.engines.view(0).engine("e").orElseThrow().address(), new LayerRange(0, 4))));
		switch (source) {
			case "list" -> this.leaving.markLeaving("e", 7);
			case "load" ->
				this.engines.applySamples(Map.of("e", StepSample.of(new EngineLoad(0, 0, 8, 1000, true), 0, 1000)));
			case "sibling" -> this.leaving.markLeaving("e", 0);
			default -> {
			}
		}
		this.engines.refreshLeaving();
		assertThat(this.engines.view(0).engine("e").orElseThrow().isAvailable()).isFalse();
		assertThat(this.engines.view(0).engine("e").orElseThrow().outstanding()).isEqualTo(1);
	}

	/** Fails if a later load report or configuration object revokes the leaving state. */
	@Test
	void laterReportsDoNotRevokeLeaving() {
		this.engines.configure(configuration(1, true));
		this.engines.configure(configuration(2, false));
		this.engines.applySamples(Map.of("e", StepSample.of(new EngineLoad(0, 0, 8, 1000, false), 0, 1000)));
		this.leaving.recordIncarnation("e", 0);
		this.engines.refreshLeaving();
		assertThat(this.engines.view(0).engine("e").orElseThrow().isAvailable()).isFalse();
	}

	private static Configuration configuration(long generation, boolean leaving) {
		return Configuration.of(generation, List.of(new UpstreamObject("e", UpstreamKind.ENGINE, "", "127.0.0.1:1",
				"dc", "kind", "m", 0, 4, true, leaving, List.of())));
	}

}
