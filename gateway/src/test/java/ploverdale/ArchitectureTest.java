package ploverdale;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import org.junit.jupiter.api.Test;
import ploverdale.clock.Clock;

/**
 * Checks dependencies. The packages that make decisions and hold state depend on no input or output and on no clock,
 * and each package depends only on those below it.
 */
class ArchitectureTest {
    private static final String CLOCK = "ploverdale.clock..";
    private static final String[] DECISION_PACKAGES = {
        "ploverdale.model..",
        "ploverdale.state..",
        "ploverdale.limits..",
        "ploverdale.shutdown..",
        "ploverdale.gossip..",
        "ploverdale.membership..",
        "ploverdale.quota..",
        "ploverdale.replication..",
        "ploverdale.routing..",
    };

    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("ploverdale");

    @Test
    void decisionPackagesDoNoInputOrOutput() {
        String[] io = {
            "java.io..",
            "java.net..",
            "java.nio.channels..",
            "java.nio.file..",
            "java.util.logging..",
            "io.vertx..",
            "io.netty..",
            "ploverdale.net..",
            "ploverdale.benchlink..",
            "ploverdale.log..",
            "ploverdale.dev..",
            "ploverdale.settings..",
        };
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(io)
                .check(classes);
    }

    @Test
    void onlyClockPackageReadsClocks() {
        noClasses().that().resideOutsideOfPackage(CLOCK).should(readAClock()).check(classes);
    }

    /** Matches calls of the JDK that read a clock, by name, since most have overloads that take a zone or a clock. */
    private static ArchCondition<JavaClass> readAClock() {
        return new ArchCondition<>("read a clock") {
            @Override
            public void check(JavaClass item, ConditionEvents events) {
                item.getAccessesFromSelf().stream()
                        .filter(ArchitectureTest::readsAClock)
                        .forEach(access -> events.add(SimpleConditionEvent.satisfied(access, access.getDescription())));
            }
        };
    }

    private static boolean readsAClock(JavaAccess<?> access) {
        String owner = access.getTargetOwner().getName();
        String name = access.getTarget().getName();
        boolean isSystemClock =
                owner.equals("java.lang.System") && (name.equals("currentTimeMillis") || name.equals("nanoTime"));
        boolean isJavaTime = owner.startsWith("java.time.") && (name.equals("now") || name.startsWith("system"));
        boolean isLegacyDate = owner.equals("java.util.Date") && name.equals("<init>")
                || owner.equals("java.util.Calendar") && name.equals("getInstance");
        return isSystemClock || isJavaTime || isLegacyDate;
    }

    @Test
    void decisionPackagesCreateNoClockAndNoRandomness() {
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Clock.class)
                .check(classes);
        noClasses()
                .that()
                .resideInAnyPackage(DECISION_PACKAGES)
                .should()
                .callMethod(Math.class, "random")
                .check(classes);
    }

    @Test
    void eachPackageDependsOnlyOnLowerLayers() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("ploverdale..")
                .layer("model")
                .definedBy("ploverdale.model..")
                .layer("state")
                .definedBy("ploverdale.state..")
                .layer("membership")
                .definedBy("ploverdale.membership..")
                .layer("gossip")
                .definedBy("ploverdale.gossip..")
                .layer("replication")
                .definedBy("ploverdale.replication..")
                .layer("quota")
                .definedBy("ploverdale.quota..")
                .layer("limits")
                .definedBy("ploverdale.limits..")
                .layer("shutdown")
                .definedBy("ploverdale.shutdown..")
                .layer("clock")
                .definedBy(CLOCK)
                .layer("log")
                .definedBy("ploverdale.log..")
                .layer("settings")
                .definedBy("ploverdale.settings..")
                .layer("routing")
                .definedBy("ploverdale.routing..")
                .layer("main")
                .definedBy(belongToAnyOf(Main.class).or(resideInAPackage("ploverdale.cli..")))
                .layer("net")
                .definedBy("ploverdale.net..")
                .layer("benchlink")
                .definedBy("ploverdale.benchlink..")
                .layer("dev")
                .definedBy("ploverdale.dev..")
                .whereLayer("dev")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("benchlink")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("net")
                .mayOnlyBeAccessedByLayers("main", "dev", "benchlink")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("main", "net", "benchlink", "dev")
                .whereLayer("clock")
                .mayOnlyBeAccessedByLayers("main", "net", "log", "benchlink", "dev")
                .whereLayer("log")
                .mayOnlyBeAccessedByLayers("main", "net", "benchlink", "dev")
                .whereLayer("shutdown")
                .mayOnlyBeAccessedByLayers("net")
                .whereLayer("limits")
                .mayOnlyBeAccessedByLayers("net")
                .whereLayer("quota")
                .mayOnlyBeAccessedByLayers("routing", "main", "net", "benchlink", "settings")
                .whereLayer("replication")
                .mayOnlyBeAccessedByLayers("main", "net", "quota", "benchlink", "settings")
                .whereLayer("routing")
                .mayOnlyBeAccessedByLayers("net", "benchlink")
                .whereLayer("state")
                .mayOnlyBeAccessedByLayers("routing")
                .check(classes);
    }

    @Test
    void gatewayDoesNotDependOnTools() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAPackage("ploverdale.tools..")
                .check(classes);
    }
}
