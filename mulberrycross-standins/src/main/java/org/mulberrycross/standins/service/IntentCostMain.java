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
 * Measures what one keyed call costs the object API in two forms of the ledger, with five
 * writers: a record for each key, and shards with group commit. Each call is a claim, a
 * call of the service of stated time, and an outcome; the record for each key is deleted
 * as well. Expiry in a shard rides on its other writes.
 */
public final class IntentCostMain {

	private static final int WRITERS = 5;

	private static final Duration STORE_TIME = Duration.ofMillis(5);

	private static final long SERVICE_MILLIS = 50;

	private static final int MAX_RUNNING = 400;

	/** Keeps a shard near 150 KB; a day of records would not fit, see the decision. */
	private static final int ENTRIES_PER_SHARD = 500;

	private static final int[] RATES = { 20, 100, 300 };

	private static final int[] SHARDS = { 1, 4, 16, 64 };

	private IntentCostMain() {
	}

	/**
	 * Prints one line for each way and rate.
	 * @param arguments see the options
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		CommandLine line = CommandLines
			.parse(new Options().addOption(null, "seconds", true, "time of each measurement"), arguments);
		int seconds = CommandLines.number(line, "seconds", 4);
		System.out.println("way              calls/s  calls  writes/call  refused/call  reads/call  bytes/call"
				+ "  claim ms p50  p99");
		for (int rate : RATES) {
			CountedTable table = new CountedTable(STORE_TIME);
			measure("record per key", rate, seconds, table, perKey(table));
			for (int shards : SHARDS) {
				sharded(shards, rate, seconds);
			}
		}
	}

	private static Call perKey(CountedTable table) {
		return (writer, number, claimed) -> {
			String key = "intent/" + IntentLedger.name("team", "key-" + number);
			IntentRecord claim = IntentRecord.claimed("token-" + number, IntentLedger.name("team", "x"), number);
			OptionalLong version = table.create(key, IntentCodec.encode(claim));
			claimed.run();
			TimeUnit.MILLISECONDS.sleep(SERVICE_MILLIS);
			OptionalLong settled = table.replace(key, IntentCodec.encode(settled(claim, number)), version.getAsLong());
			table.delete(key, settled.getAsLong());
		};
	}

	private static IntentRecord settled(IntentRecord claim, int number) {
		return claim.settled(CallOutcome.completed(201, "application/json", new byte[60]), number, 1000);
	}

	private static void sharded(int shards, int rate, int seconds) throws InterruptedException {
		CountedTable table = new CountedTable(STORE_TIME);
		List<ShardWriter> writers = new ArrayList<>();
		ExecutorService threads = Executors.newFixedThreadPool(WRITERS * shards);
		for (int i = 0; i < WRITERS * shards; i++) {
			ShardWriter writer = new ShardWriter(table, "shard/" + i % shards, ENTRIES_PER_SHARD);
			writers.add(writer);
			threads.execute(writer);
		}
		measure(shards + " shards", rate, seconds, table, (writer, number, claimed) -> {
			String name = IntentLedger.name("team", "key-" + number);
			ShardWriter shard = writers.get(writer * shards + Math.floorMod(name.hashCode(), shards));
			IntentRecord claim = IntentRecord.claimed("token-" + number, IntentLedger.name("team", "x"), number);
			shard.write(name, new String(IntentCodec.encode(claim))).join();
			claimed.run();
			TimeUnit.MILLISECONDS.sleep(SERVICE_MILLIS);
			shard.write(name, new String(IntentCodec.encode(settled(claim, number)))).join();
		});
		threads.shutdownNow();
		threads.awaitTermination(5, TimeUnit.SECONDS);
	}

	private static void measure(String way, int rate, int seconds, CountedTable table, Call call)
			throws InterruptedException {
		ConcurrentHistogram claims = new ConcurrentHistogram(3);
		ExecutorService callers = Executors.newCachedThreadPool();
		Semaphore running = new Semaphore(MAX_RUNNING);
		int calls = rate * seconds;
		long start = System.nanoTime();
		for (int i = 0; i < calls; i++) {
			int number = i;
			TimeUnit.NANOSECONDS.sleep(start + i * 1_000_000_000L / rate - System.nanoTime());
			running.acquire();
			callers.execute(() -> {
				long begun = System.nanoTime();
				try {
					call.run(number % WRITERS, number, () -> claims.recordValue((System.nanoTime() - begun) / 1000));
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				finally {
					running.release();
				}
			});
		}
		running.acquire(MAX_RUNNING);
		double elapsed = (System.nanoTime() - start) / 1e9;
		callers.shutdown();
		System.out.printf("%-15s  %7.0f  %5d  %11.2f  %12.2f  %10.2f  %10.0f  %12.1f  %.1f%n", way, calls / elapsed,
				calls, table.writes().sum() / (double) calls, table.refused().sum() / (double) calls,
				table.reads().sum() / (double) calls, table.bytes().sum() / (double) calls,
				claims.getValueAtPercentile(50) / 1000.0, claims.getValueAtPercentile(99) / 1000.0);
	}

	/**
	 * One keyed call.
	 */
	@FunctionalInterface
	private interface Call {

		void run(int writer, int number, Runnable claimed) throws InterruptedException;

	}

}
