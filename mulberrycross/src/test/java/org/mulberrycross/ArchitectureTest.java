package org.mulberrycross;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the package structure: one package for each peer, whose decisions are separate
 * from the encoding of messages.
 */
class ArchitectureTest {

	private static final String ROOT = "org.mulberrycross.";

	private static final Pattern NAME_COMPARISON = Pattern.compile(
			"(?i)(service|team|model|dataCentre)(Name)?(\\(\\))?\\s*\\.(equals|startsWith|contains|endsWith|matches)\\(\\s*\"");

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

	/**
	 * Fails if a decision in any module compares the name of a service, team, model or
	 * data centre with a constant, and so works only for certain deployments.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "../mulberrycross", "../mulberrycross-daemon", "../platform" })
	void noDecisionDependsOnConstantName(String module) throws IOException {
		List<String> comparisons = new ArrayList<>();
		try (Stream<Path> files = Files.walk(Path.of(module, "src", "main", "java"))) {
			for (Path file : files.filter(Files::isRegularFile).toList()) {
				Matcher matcher = NAME_COMPARISON.matcher(Files.readString(file));
				while (matcher.find()) {
					comparisons.add(file + ": " + matcher.group());
				}
			}
		}
		assertThat(comparisons).isEmpty();
	}

}
