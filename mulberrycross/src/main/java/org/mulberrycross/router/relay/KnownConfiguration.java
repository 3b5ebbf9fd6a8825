package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.sibling.SharedChange;

/**
 * A version of the configuration and the object that contains it, which siblings can be
 * sent. Immutable if the value of the object is not modified, and thread-safe.
 *
 * @param configuration the decoded version, not null
 * @param object the object, not null
 */
record KnownConfiguration(ServingConfiguration configuration, StoredObject object) {

	KnownConfiguration {
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(object, "object");
	}

	// Returns empty if the object contains no valid configuration.
	static Optional<KnownConfiguration> decode(StoredObject object, ObjectDecoder<ServingConfiguration> decoder) {
		return decoder.decode(object).map((configuration) -> new KnownConfiguration(configuration, object));
	}

	// Returns empty if a sibling has sent no valid configuration.
	static Optional<KnownConfiguration> decode(SharedChange change, ObjectDecoder<ServingConfiguration> decoder) {
		return change.value()
			.flatMap((value) -> decode(new StoredObject(change.key(), change.version(), value), decoder));
	}

	long version() {
		return this.configuration.version();
	}

	SharedChange toSharedChange() {
		return new SharedChange(this.object.key(), this.object.version(), Optional.of(this.object.value()));
	}

}
