package mulleinfront;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Layers depend only on lower ones: decision logic, core, transports, emulator, command line. */
class LayersTest {
    private static final JavaClasses MAIN = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("mulleinfront");

    /** The decision logic: the root package without the entry point, whose place the platform prescribes. */
    private static final DescribedPredicate<JavaClass> DECISIONS = DescribedPredicate.describe(
            "the decision logic",
            type -> type.getPackageName().equals("mulleinfront")
                    && !type.getFullName().startsWith("mulleinfront.Main"));

    private static ArchRule only(String layer, String... allowed) {
        return classes()
                .that()
                .resideInAPackage(layer)
                .should()
                .onlyDependOnClassesThat(DECISIONS.or(JavaClass.Predicates.resideInAnyPackage(allowed)));
    }

    /** No I/O, threads or system clock: neither their packages nor the classes for them in {@code java.lang}. */
    private static ArchRule withoutIo(DescribedPredicate<JavaClass> layer) {
        return noClasses()
                .that(layer)
                .should()
                .dependOnClassesThat(JavaClass.Predicates.resideInAnyPackage(
                                "java.io..",
                                "java.net..",
                                "java.nio..",
                                "java.time..",
                                "java.util.concurrent..",
                                "io.netty..")
                        .or(DescribedPredicate.describe(
                                "threads or time",
                                type -> type.isEquivalentTo(System.class)
                                        || type.isEquivalentTo(Thread.class)
                                        || type.isEquivalentTo(ProcessHandle.class)
                                        || type.isEquivalentTo(Runtime.class)
                                        || type.isEquivalentTo(java.util.Timer.class))));
    }

    @Test
    void decisionsDependOnNothingElse() {
        classes()
                .that(DECISIONS)
                .should()
                .onlyDependOnClassesThat(DECISIONS.or(JavaClass.Predicates.resideInAnyPackage(
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "com.dynatrace.hash4j..")))
                .check(MAIN);
        withoutIo(DECISIONS).check(MAIN);
    }

    @Test
    void coreDependsOnDecisionsWithoutIo() {
        only("mulleinfront.core", "mulleinfront.core", "java.lang..", "java.util", "java.util.function")
                .check(MAIN);
        withoutIo(JavaClass.Predicates.resideInAPackage("mulleinfront.core")).check(MAIN);
    }

    @Test
    void fleetDependsOnNothingElseWithoutIo() {
        only(
                        "mulleinfront.fleet",
                        "mulleinfront.fleet",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.random",
                        "java.util.stream",
                        "com.dynatrace.hash4j..",
                        "java.nio")
                .check(MAIN);
        noClasses()
                .that()
                .resideInAPackage("mulleinfront.fleet")
                .should()
                .dependOnClassesThat(JavaClass.Predicates.resideInAnyPackage(
                                "java.io..",
                                "java.net..",
                                "java.nio.channels..",
                                "java.nio.file..",
                                "java.time..",
                                "java.util.concurrent..",
                                "io.netty..")
                        .or(DescribedPredicate.describe(
                                "threads, time or the rest of the program",
                                type -> type.isEquivalentTo(System.class)
                                        || type.isEquivalentTo(Thread.class)
                                        || type.getPackageName().startsWith("mulleinfront.core"))))
                .check(MAIN);
    }

    @Test
    void configDependsOnNothingElseWithoutIo() {
        classes()
                .that()
                .resideInAPackage("mulleinfront.config")
                .should()
                .onlyDependOnClassesThat(JavaClass.Predicates.resideInAnyPackage(
                        "mulleinfront.config",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.random",
                        "com.dynatrace.hash4j.."))
                .check(MAIN);
        withoutIo(JavaClass.Predicates.resideInAPackage("mulleinfront.config")).check(MAIN);
    }

    @Test
    void gossipDoesNotDependOnClientOrEndpointTransport() {
        noClasses()
                .that()
                .resideInAPackage("mulleinfront.gossip..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "mulleinfront.proxy..",
                        "mulleinfront.manage..",
                        "mulleinfront.emulator..",
                        "mulleinfront.kit..",
                        "mulleinfront.cli..",
                        "io.netty.handler.codec.http..")
                .check(MAIN);
        // Event logs are read by the kit; the logging library that writes them is used by the gossip transport alone.
        noClasses()
                .that()
                .resideOutsideOfPackage("mulleinfront.gossip..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("ch.qos.logback..", "org.slf4j..")
                .check(MAIN);
    }

    @Test
    void settingsDoNotDependOnTheirUsers() {
        only(
                        "mulleinfront.settings",
                        "mulleinfront.settings",
                        "mulleinfront.fleet",
                        "mulleinfront.config",
                        "java..",
                        "com.fasterxml.jackson.core..",
                        "org.tomlj..",
                        "io.netty.util")
                .check(MAIN);
        noClasses()
                .that()
                .resideInAPackage("mulleinfront.proxy..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("mulleinfront.benchlink..")
                .check(MAIN);
    }

    @Test
    void managementDoesNotDependOnClientTransport() {
        noClasses()
                .that()
                .resideInAPackage("mulleinfront.manage..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "mulleinfront.proxy..",
                        "mulleinfront.settings..",
                        "mulleinfront.emulator..",
                        "mulleinfront.kit..",
                        "mulleinfront.cli..",
                        "io.netty.handler.codec.http..")
                .check(MAIN);
    }

    @Test
    void mainDependsOnEntryPointsOnly() {
        classes()
                .that()
                .haveFullyQualifiedName("mulleinfront.Main")
                .should()
                .onlyDependOnClassesThat(JavaClass.Predicates.resideInAnyPackage(
                        "java.lang..",
                        "java.io",
                        "mulleinfront.cli",
                        "mulleinfront.benchlink",
                        "mulleinfront.proxy",
                        "mulleinfront.settings",
                        "mulleinfront"))
                .check(MAIN);
    }

    @Test
    void emulatorDoesNotDependOnTransports() {
        noClasses()
                .that()
                .resideInAPackage("mulleinfront.emulator..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "mulleinfront.proxy..",
                        "mulleinfront.benchlink..",
                        "mulleinfront.cli..",
                        "io.netty..",
                        "java.net..",
                        "picocli..")
                .check(MAIN);
    }

    @Test
    void lowerLayersDoNotDependOnTheCommandLine() {
        noClasses()
                .that()
                .resideInAnyPackage("mulleinfront.core..", "mulleinfront.proxy..", "mulleinfront.benchlink..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("mulleinfront.cli..", "mulleinfront.emulator..", "picocli..", "org.tomlj..")
                .check(MAIN);
    }

    @Test
    void onlyTheCommandLineDependsOnTheKit() {
        noClasses()
                .that()
                .resideInAPackage("mulleinfront.kit..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "mulleinfront.proxy..",
                        "mulleinfront.benchlink..",
                        "mulleinfront.cli..",
                        "mulleinfront.bench..",
                        "picocli..")
                .check(MAIN);
        noClasses()
                .that()
                .resideOutsideOfPackages("mulleinfront.kit..", "mulleinfront.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("mulleinfront.kit..")
                .check(MAIN);
    }

    @Test
    void onlyReplicasDependOnTheConsensusLibrary() {
        only(
                        "mulleinfront.keep",
                        "mulleinfront.keep",
                        "mulleinfront.config",
                        "java..",
                        "io.microraft..",
                        "io.netty..",
                        "org.h2.mvstore..")
                .check(MAIN);
        noClasses()
                .that()
                .resideOutsideOfPackage("mulleinfront.keep")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.microraft..", "org.h2..")
                .check(MAIN);
        noClasses()
                .that()
                .resideOutsideOfPackages("mulleinfront.keep", "mulleinfront.cli..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("mulleinfront.keep")
                .check(MAIN);
        // The state machine has no I/O: its state is written and read by the codec alone.
        noClasses()
                .that()
                .haveSimpleName("ConfigStateMachine")
                .should()
                .dependOnClassesThat(JavaClass.Predicates.resideInAnyPackage(
                        "java.io..",
                        "java.nio..",
                        "java.net..",
                        "java.time..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "io.microraft..",
                        "org.h2.."))
                .check(MAIN);
    }

    @Test
    void capacityDependsOnNothingElseWithoutIo() {
        classes()
                .that()
                .resideInAPackage("mulleinfront.capacity")
                .should()
                .onlyDependOnClassesThat(JavaClass.Predicates.resideInAnyPackage(
                        "mulleinfront.capacity",
                        "java.lang..",
                        "java.math",
                        "java.util",
                        "java.util.function",
                        "java.util.stream"))
                .check(MAIN);
        withoutIo(JavaClass.Predicates.resideInAPackage("mulleinfront.capacity"))
                .check(MAIN);
    }

    @Test
    void layerRulesDetectViolations() {
        // The socket transport does what the core must not do, so the same rules must fail for it.
        ArchRule wrong = only("mulleinfront.proxy", "mulleinfront.core", "mulleinfront.proxy", "java..");
        AssertionError found = assertThrows(AssertionError.class, () -> wrong.check(MAIN));
        assertTrue(found.getMessage().contains("io.netty"), found.getMessage());
        assertThrows(
                AssertionError.class,
                () -> withoutIo(JavaClass.Predicates.resideInAPackage("mulleinfront.proxy"))
                        .check(MAIN));
    }
}
