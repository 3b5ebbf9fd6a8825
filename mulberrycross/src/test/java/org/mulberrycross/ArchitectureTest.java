package org.mulberrycross;

import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards the package structure: one package for each peer, whose decisions are separate
 * from the encoding of messages.
 */
class ArchitectureTest {

	private static final String ROOT = "org.mulberrycross.";

	private static final JavaClasses CLASSES = new ClassFileImporter()
		.withImportOption(new ImportOption.DoNotIncludeTests())
		.importPackages("org.mulberrycross");

	/** Fails if the decisions about a peer depend on a wire encoding. */
	@ParameterizedTest
	@ValueSource(strings = { "caller", "engine", "service", "platform", "weightstore", "sibling", "operator" })
	void decisionsDoNotImportEncodings(String peer) {
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage(ROOT + peer)
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("org.glassfish.grizzly..", "com.fasterxml.jackson..", ROOT + "http..",
					ROOT + "*.http..", ROOT + "*.json..", ROOT + "router..")
			.allowEmptyShould(true)
			.check(CLASSES);
	}

	/**
	 * Fails if the decisions about one peer depend on the package of another peer. The
	 * operator package is exempt, since its objects configure every part.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "caller", "engine", "service", "platform", "weightstore", "sibling", "operator" })
	void decisionsDoNotDependOnOtherPeers(String peer) {
		String[] others = Stream.of("caller", "engine", "service", "platform", "weightstore", "sibling")
			.filter((other) -> !other.equals(peer))
			.map((other) -> ROOT + other + "..")
			.toArray(String[]::new);
		ArchRuleDefinition.noClasses()
			.that()
			.resideInAPackage(ROOT + peer)
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage(others)
			.allowEmptyShould(true)
			.check(CLASSES);
	}

	/** Fails if a library package depends on the daemon and cannot be embedded alone. */
	@Test
	void onlyTheRouterAssemblesPeers() {
		ArchRuleDefinition.noClasses()
			.that()
			.resideOutsideOfPackages(ROOT + "router..")
			.should()
			.dependOnClassesThat()
			.resideInAPackage(ROOT + "router..")
			.check(CLASSES);
	}

	/** Fails if the name of an accessor begins with {@code get}. */
	@Test
	void accessorsHaveNoGetPrefix() {
		ArchRuleDefinition.noMethods().should().haveNameMatching("get[A-Z].*").check(CLASSES);
	}

}
