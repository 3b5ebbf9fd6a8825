package org.mulberrycross.service;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ServiceOperation;
import org.mulberrycross.operator.UpstreamKind;
import org.mulberrycross.operator.UpstreamObject;

/**
 * Finds the operations and upstreams of services in the configuration in force. Keeps an
 * index of the last configuration, so that a call does not walk through all teams.
 * Thread-safe.
 */
public final class ServiceDirectory {

	private final Supplier<Configuration> configuration;

	private final Predicate<String> leaving;

	private final AtomicReference<Index> index = new AtomicReference<>(Index.of(Configuration.empty()));

	/**
	 * Creates a directory.
	 * @param configuration returns the configuration in force, not null
	 * @param leaving says whether an upstream gets no new work for another reason than
	 * its object, not null
	 */
	public ServiceDirectory(Supplier<Configuration> configuration, Predicate<String> leaving) {
		this.leaving = Objects.requireNonNull(leaving, "leaving");
		this.configuration = Objects.requireNonNull(configuration, "configuration");
	}

	/**
	 * Finds an operation. Where upstreams of a service disagree, the operation counts as
	 * not idempotent.
	 * @param call the call, not null
	 * @return the operation, or empty if no upstream of the service has it
	 */
	public Optional<ServiceOperation> operation(ServiceCall call) {
		return upstreams(call.service()).stream()
			.flatMap((upstream) -> matching(upstream, call).stream())
			.reduce((left, right) -> left.idempotent() ? right : left);
	}

	/**
	 * Returns the upstreams that may get a call.
	 * @param call the call, not null
	 * @param tried the names of the upstreams that have been tried, not null
	 * @return the upstreams of the service that have the operation and are not leaving
	 */
	public List<UpstreamObject> candidates(ServiceCall call, Set<String> tried) {
		return upstreams(call.service()).stream()
			.filter((upstream) -> !upstream.leaving() && !this.leaving.test(upstream.name()))
			.filter((upstream) -> !tried.contains(upstream.name()))
			.filter((upstream) -> matching(upstream, call).isPresent())
			.toList();
	}

	private List<UpstreamObject> upstreams(String service) {
		Configuration current = this.configuration.get();
		Index known = this.index.get();
		if (known.configuration() != current) {
			known = Index.of(current);
			this.index.set(known);
		}
		return known.upstreams().getOrDefault(service, List.of());
	}

	private static Optional<ServiceOperation> matching(UpstreamObject upstream, ServiceCall call) {
		return upstream.operations()
			.stream()
			.filter((operation) -> operation.method().equals(call.method()))
			.filter((operation) -> operation.path().equals(call.path()))
			.findFirst();
	}

	/**
	 * Upstreams of a configuration by service.
	 *
	 * @param configuration the configuration
	 * @param upstreams the upstreams by the name of their service
	 */
	private record Index(Configuration configuration, Map<String, List<UpstreamObject>> upstreams) {

		private static Index of(Configuration configuration) {
			return new Index(configuration,
					configuration.objects()
						.stream()
						.filter(UpstreamObject.class::isInstance)
						.map(UpstreamObject.class::cast)
						.filter((upstream) -> upstream.type() == UpstreamKind.SERVICE)
						.collect(Collectors.groupingBy(UpstreamObject::service)));
		}

	}

}
