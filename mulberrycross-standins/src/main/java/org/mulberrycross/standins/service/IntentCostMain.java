package org.mulberrycross.standins.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.ConcurrentHistogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import org.mulberrycross.service.CallOutcome;
import org.mulberrycross.service.IntentLedger;
import org.mulberrycross.service.IntentRecord;
import org.mulberrycross.service.http.IntentCodec;
import org.mulberrycross.standins.CommandLines;

/**
 * Measures the cost of one keyed call at the object API and the latency of its claim,
 * with five writers, in two designs of the intent ledger: one record per key, and shards
 * with group commit. A keyed call writes a claim, calls the service, which takes a fixed
 * time, and writes the outcome. A record per key is deleted afterwards; expired entries
 * of a shard are removed by its other writes, without an additional call.
 */
public final class IntentCostMain {

	private static final int WRITER_COUNT = 5;

	private static final Duration STORE_CALL_TIME = Duration.ofMillis(5);

	private static final long SERVICE_CALL_MILLIS = 50;

	private static final int MAX_CALLS_IN_FLIGHT = 400;

	/**
	 * Keeps a shard near 150 KB. The records of a day would not fit into a shard, see
	 * docs/decisions/0003-intent-ledger.md.
	 */
	private static final int MAX_ENTRIES_PER_SHARD = 500;

	private static final int[] CALL_RATES_PER_SECOND = { 20, 100, 300 };

	private static final int[] SHARD_COUNTS = { 1, 4, 16, 64 };

	private IntentCostMain() {
	}

	/**
	 * Prints one line for each design and rate.
	 * @param arguments the command-line options
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		CommandLine line = CommandLines.parse(
				new Options().addOption(null, "seconds", true, "duration of each measurement in seconds"), arguments);
		int seconds = CommandLines.intOption(line, "seconds", 4);
		System.out.println("way              calls/s  calls  writes/call  refused/call  reads/call  bytes/call"
				+ "  claim ms p50  p99");
		for (int callsPerSecond : CALL_RATES_PER_SECOND) {
			CountingObjectStore store = new CountingObjectStore(STORE_CALL_TIME);
			measure("record per key", callsPerSecond, seconds, store, recordPerKey(store));
			for (int shardCount : SHARD_COUNTS) {
				measureShards(shardCount, callsPerSecond, seconds);
			}
		}
	}

	private static KeyedCall recordPerKey(CountingObjectStore store) {
		return (writerIndex, callNumber, claimListener) -> {
			String key = "intent/" + IntentLedger.recordName("team", "key-" + callNumber);
			IntentRecord claim = IntentRecord.claimed("token-" + callNumber, IntentLedger.recordName("team", "x"),
					callNumber);
			OptionalLong version = store.create(key, IntentCodec.encode(claim));
			claimListener.run();
			TimeUnit.MILLISECONDS.sleep(SERVICE_CALL_MILLIS);
			OptionalLong settled = store.replace(key, IntentCodec.encode(settle(claim, callNumber)),
					version.getAsLong());
			store.delete(key, settled.getAsLong());
		};
	}

	private static IntentRecord settle(IntentRecord claim, int callNumber) {
		return claim.settled(CallOutcome.completed(201, "application/json", new byte[60]), callNumber, 1000);
	}

	private static void measureShards(int shardCount, int callsPerSecond, int seconds) throws InterruptedException {
		CountingObjectStore store = new CountingObjectStore(STORE_CALL_TIME);
		List<ShardWriter> writers = new ArrayList<>();
		ExecutorService threads = Executors.newFixedThreadPool(WRITER_COUNT * shardCount);
		for (int i = 0; i < WRITER_COUNT * shardCount; i++) {
			ShardWriter writer = new ShardWriter(store, "shard/" + i % shardCount, MAX_ENTRIES_PER_SHARD);
			writers.add(writer);
			threads.execute(writer);
		}
		measure(shardCount + " shards", callsPerSecond, seconds, store, (writerIndex, callNumber, claimListener) -> {
			String name = IntentLedger.recordName("team", "key-" + callNumber);
			ShardWriter shard = writers.get(writerIndex * shardCount + Math.floorMod(name.hashCode(), shardCount));
			IntentRecord claim = IntentRecord.claimed("token-" + callNumber, IntentLedger.recordName("team", "x"),
					callNumber);
			shard.write(name, new String(IntentCodec.encode(claim))).join();
			claimListener.run();
			TimeUnit.MILLISECONDS.sleep(SERVICE_CALL_MILLIS);
			shard.write(name, new String(IntentCodec.encode(settle(claim, callNumber)))).join();
		});
		threads.shutdownNow();
		threads.awaitTermination(5, TimeUnit.SECONDS);
	}

	private static void measure(String design, int callsPerSecond, int seconds, CountingObjectStore store,
			KeyedCall call) throws InterruptedException {
		ConcurrentHistogram claimMicros = new ConcurrentHistogram(3);
		ExecutorService callers = Executors.newCachedThreadPool();
		Semaphore callSlots = new Semaphore(MAX_CALLS_IN_FLIGHT);
		int callCount = callsPerSecond * seconds;
		long startNanos = System.nanoTime();
		for (int i = 0; i < callCount; i++) {
			int callNumber = i;
			TimeUnit.NANOSECONDS.sleep(startNanos + i * 1_000_000_000L / callsPerSecond - System.nanoTime());
			callSlots.acquire();
			callers.execute(() -> {
				long callStartNanos = System.nanoTime();
				try {
					call.run(callNumber % WRITER_COUNT, callNumber,
							() -> claimMicros.recordValue((System.nanoTime() - callStartNanos) / 1000));
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				finally {
					callSlots.release();
				}
			});
		}
		callSlots.acquire(MAX_CALLS_IN_FLIGHT);
		double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
		callers.shutdown();
		System.out.printf("%-15s  %7.0f  %5d  %11.2f  %12.2f  %10.2f  %10.0f  %12.1f  %.1f%n", design,
				callCount / elapsedSeconds, callCount, store.writes().sum() / (double) callCount,
				store.conflicts().sum() / (double) callCount, store.reads().sum() / (double) callCount,
				store.bytes().sum() / (double) callCount, claimMicros.getValueAtPercentile(50) / 1000.0,
				claimMicros.getValueAtPercentile(99) / 1000.0);
	}

	/**
	 * Writes the claim of a call, runs the listener, waits for the simulated service and
	 * writes the outcome.
	 */
	@FunctionalInterface
	private interface KeyedCall {

		void run(int writerIndex, int callNumber, Runnable claimListener) throws InterruptedException;

	}

}
