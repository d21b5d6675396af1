package org.rattanplank.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

class ModuleRulesTest {
    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.rattanplank.core");

    @Test
    void shouldUseNoSocketFileOrThreadWhenInCore() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "io.netty..", "ratpack..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, java.util.Timer.class)
                .check(CORE);
    }

    @Test
    void shouldReadNoClockWhenInCore() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .resideInAnyPackage("java.time..")
                .check(CORE);
    }
}
