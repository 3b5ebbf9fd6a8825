package org.mulberrycross.sibling;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous (highest random weight) hashing: when a member is removed, only the keys
 * that it owned are assigned to another member. Thread-safe.
 */
public final class Rendezvous {

	private Rendezvous() {
	}

	/**
	 * Returns the owner of a key, which is the member with the highest weight for it.
	 * @param key the key, not null
	 * @param members the names of the members, not null
	 * @return the name of the owner, or empty if there are no members
	 */
	public static Optional<String> owner(String key, Collection<String> members) {
		byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
		int seed = MurmurHash3.hash32x86(keyBytes);
		return members.stream().max(byWeight(seed));
	}

	/**
	 * Ranks the members by their weight for a key.
	 * @param key the key, not null
	 * @param members the names of the members, not null
	 * @return the members by descending weight, the owner first
	 */
	public static List<String> rank(String key, Collection<String> members) {
		int seed = MurmurHash3.hash32x86(key.getBytes(StandardCharsets.UTF_8));
		return members.stream().sorted(byWeight(seed).reversed()).toList();
	}

	private static Comparator<String> byWeight(int seed) {
		return Comparator.comparingLong((String name) -> weight(name, seed)).thenComparing(Comparator.naturalOrder());
	}

	private static long weight(String member, int seed) {
		byte[] bytes = member.getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes, 0, bytes.length, seed)[0];
	}

}
