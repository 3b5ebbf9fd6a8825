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
 * Thread-safe lookup of service operations and upstreams in the current configuration.
 * Indexes each configuration once, so that a call does not scan the objects of all teams.
 */
public final class ServiceDirectory {

	private final Supplier<Configuration> configuration;

	private final Predicate<String> draining;

	private final AtomicReference<Index> index = new AtomicReference<>(Index.of(Configuration.empty()));

	/**
	 * Creates a directory.
	 * @param configuration returns the current configuration, not null
	 * @param draining tests by name whether an upstream must get no new calls although
	 * its configuration object does not mark it as leaving, not null
	 */
	public ServiceDirectory(Supplier<Configuration> configuration, Predicate<String> draining) {
		this.draining = Objects.requireNonNull(draining, "draining");
		this.configuration = Objects.requireNonNull(configuration, "configuration");
	}

	/**
	 * Finds the operation of a call. If the upstreams of its service disagree, the
	 * operation counts as not idempotent.
	 * @param call the call, not null
	 * @return the operation, or empty if no upstream of the service has it
	 */
	public Optional<ServiceOperation> findOperation(ServiceCall call) {
		return upstreamsOf(call.service()).stream()
			.flatMap((upstream) -> findOperation(upstream, call).stream())
			.reduce((left, right) -> left.idempotent() ? right : left);
	}

	/**
	 * Returns the upstreams that are eligible for a call.
	 * @param call the call, not null
	 * @param excluded the names of the upstreams to leave out, not null
	 * @return the upstreams of the service that offer the operation and are not draining
	 */
	public List<UpstreamObject> candidates(ServiceCall call, Set<String> excluded) {
		return upstreamsOf(call.service()).stream()
			.filter((upstream) -> !upstream.leaving() && !this.draining.test(upstream.name()))
			.filter((upstream) -> !excluded.contains(upstream.name()))
			.filter((upstream) -> findOperation(upstream, call).isPresent())
			.toList();
	}

	private List<UpstreamObject> upstreamsOf(String service) {
		Configuration current = this.configuration.get();
		Index currentIndex = this.index.get();
		if (currentIndex.configuration() != current) {
			currentIndex = Index.of(current);
			this.index.set(currentIndex);
		}
		return currentIndex.upstreamsByService().getOrDefault(service, List.of());
	}

	private static Optional<ServiceOperation> findOperation(UpstreamObject upstream, ServiceCall call) {
		return upstream.operations()
			.stream()
			.filter((operation) -> operation.method().equals(call.method()))
			.filter((operation) -> operation.path().equals(call.path()))
			.findFirst();
	}

	/**
	 * The service upstreams of one configuration, grouped by service.
	 *
	 * @param configuration the indexed configuration, compared by identity
	 * @param upstreamsByService the upstreams by the name of their service
	 */
	private record Index(Configuration configuration, Map<String, List<UpstreamObject>> upstreamsByService) {

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
