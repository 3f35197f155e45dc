package ploverdale;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** What may depend on what: decisions and state on no input or output and no clock, and each package only on those below it. */
class ArchitectureTest {
    private static final String[] DECISIONS = {
        "ploverdale.model..", "ploverdale.state..", "ploverdale.limits..", "ploverdale.shutdown..", "ploverdale.hearsay..",
        "ploverdale.fleet..", "ploverdale.budgets..", "ploverdale.replica..", "ploverdale.routing..",
    };

    private final JavaClasses classes =
            new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("ploverdale");

    @Test
    void decisionsDoNoInputOrOutput() {
        String[] io = {
            "java.io..", "java.net..", "java.nio.channels..", "java.nio.file..", "java.util.logging..", "io.vertx..", "io.netty..",
            "ploverdale.net..", "ploverdale.benchlink..", "ploverdale.log..", "ploverdale.toy..", "ploverdale.terms..",
        };
        noClasses().that().resideInAnyPackage(DECISIONS).should().dependOnClassesThat().resideInAnyPackage(io).check(classes);
        noClasses().that().belongToAnyOf(Logic.class).should().dependOnClassesThat().resideInAnyPackage(io).check(classes);
    }

    @Test
    void decisionsAreHandedTheirClockAndChance() {
        for (String method : new String[] {"currentTimeMillis", "nanoTime"}) {
            noClasses().that().resideInAnyPackage(DECISIONS).or().belongToAnyOf(Logic.class)
                    .should().callMethod(System.class, method).check(classes);
        }
        noClasses().that().resideInAnyPackage(DECISIONS).or().belongToAnyOf(Logic.class)
                .should().callMethod(Instant.class, "now").check(classes);
        noClasses().that().resideInAnyPackage(DECISIONS).or().belongToAnyOf(Logic.class)
                .should().callMethod(Math.class, "random").check(classes);
    }

    @Test
    void eachPackageDependsOnlyOnThoseBelowIt() {
        layeredArchitecture().consideringOnlyDependenciesInAnyPackage("ploverdale..")
                .layer("model").definedBy("ploverdale.model..")
                .layer("state").definedBy("ploverdale.state..")
                .layer("fleet").definedBy("ploverdale.fleet..")
                .layer("gossip").definedBy("ploverdale.hearsay..")
                .layer("replica").definedBy("ploverdale.replica..")
                .layer("budgets").definedBy("ploverdale.budgets..")
                .layer("limits").definedBy("ploverdale.limits..")
                .layer("shutdown").definedBy("ploverdale.shutdown..")
                .layer("log").definedBy("ploverdale.log..")
                .layer("settings").definedBy("ploverdale.terms..")
                .layer("routing").definedBy("ploverdale.routing..")
                .layer("router").definedBy(belongToAnyOf(Logic.class))
                .layer("main").definedBy(belongToAnyOf(Main.class))
                .layer("net").definedBy("ploverdale.net..")
                .layer("simulator").definedBy("ploverdale.benchlink..")
                .layer("toy").definedBy("ploverdale.toy..")
                .whereLayer("toy").mayOnlyBeAccessedByLayers("main")
                .whereLayer("simulator").mayOnlyBeAccessedByLayers("main")
                .whereLayer("net").mayOnlyBeAccessedByLayers("main", "toy", "simulator")
                .whereLayer("settings").mayOnlyBeAccessedByLayers("main", "net", "simulator", "toy")
                .whereLayer("log").mayOnlyBeAccessedByLayers("main", "net", "simulator", "toy")
                .whereLayer("shutdown").mayOnlyBeAccessedByLayers("net")
                .whereLayer("limits").mayOnlyBeAccessedByLayers("net")
                .whereLayer("budgets").mayOnlyBeAccessedByLayers("router", "main", "net", "simulator")
                .whereLayer("replica").mayOnlyBeAccessedByLayers("main", "net", "budgets", "simulator")
                .whereLayer("routing").mayOnlyBeAccessedByLayers("router")
                .whereLayer("state").mayOnlyBeAccessedByLayers("router", "routing")
                .check(classes);
    }

    @Test
    void nothingDependsOnTheTools() {
        noClasses().should().dependOnClassesThat().resideInAPackage("ploverdale.tools..").check(classes);
    }
}
