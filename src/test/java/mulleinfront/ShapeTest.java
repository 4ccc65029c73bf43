package mulleinfront;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.MethodTree;
import com.sun.source.util.JavacTask;
import com.sun.source.util.SourcePositions;
import com.sun.source.util.TreeScanner;
import com.sun.source.util.Trees;
import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;

/** The decision code's dependencies, the lengths of its methods and lines, and that it names no deployment. */
class ShapeTest {
    private static final Path SOURCES = Path.of("src/main/java/mulleinfront");
    private static final Path MODULE = SOURCES.resolve("Logic.java");
    /** Source files of the root package that are not decision code: the command line's entry and the package's doc. */
    private static final Set<String> NOT_DECISIONS = Set.of("Main.java", "package-info.java");
    /** Line length at which the formatter wraps. */
    private static final int MAX_COLUMNS = 120;
    /** Maximum number of lines of a method or constructor in formatted source; there are no exceptions. */
    private static final int MAX_LINES = 80;

    private static final JavaClasses MAIN = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("mulleinfront");
    private static final DescribedPredicate<JavaClass> DECISIONS = DescribedPredicate.describe(
            "the decision code",
            c -> c.getPackageName().equals("mulleinfront")
                    && !NOT_DECISIONS.contains(
                            c.getSource().orElseThrow().getFileName().orElseThrow()));
    private static final DescribedPredicate<JavaClass> CLOCK_OR_PROCESS = DescribedPredicate.describe(
            "clocks, threads or the process",
            c -> c.isEquivalentTo(System.class)
                    || c.isEquivalentTo(Thread.class)
                    || c.isEquivalentTo(Runtime.class)
                    || c.isEquivalentTo(ProcessHandle.class)
                    || c.isEquivalentTo(java.util.Timer.class));

    /** A method or constructor as {@code Type.name}, constructors being named {@code <init>}, and its lines. */
    private record MethodLength(String name, long lines) {}

    private static List<Path> decisionFiles() throws IOException {
        try (Stream<Path> all = Files.list(SOURCES)) {
            return all.filter(p -> p.toString().endsWith(".java"))
                    .filter(p -> !NOT_DECISIONS.contains(p.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }

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
                                "java.util.logging..",
                                "org.slf4j..",
                                "ch.qos.logback..",
                                "io.netty..")
                        .or(CLOCK_OR_PROCESS));
    }

    /** Measures each method from its first modifier or annotation to its closing brace; the source is only parsed. */
    private static List<MethodLength> methodLengths(String source) throws IOException {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        JavacTask task = (JavacTask) compiler.getTask(null, null, null, null, null, List.of(inMemory(source)));
        SourcePositions positions = Trees.instance(task).getSourcePositions();
        List<MethodLength> lengths = new ArrayList<>();
        for (CompilationUnitTree unit : task.parse()) {
            new TreeScanner<Void, String>() {
                @Override
                public Void visitClass(ClassTree type, String outer) {
                    String name = type.getSimpleName().toString();
                    return super.visitClass(type, outer.isEmpty() ? name : outer + "." + name);
                }

                @Override
                public Void visitMethod(MethodTree method, String type) {
                    long first = unit.getLineMap().getLineNumber(positions.getStartPosition(unit, method));
                    long last = unit.getLineMap().getLineNumber(positions.getEndPosition(unit, method) - 1);
                    lengths.add(new MethodLength(type + "." + method.getName(), last - first + 1));
                    return super.visitMethod(method, type);
                }
            }.scan(unit, "");
        }
        return lengths;
    }

    private static JavaFileObject inMemory(String source) {
        return new SimpleJavaFileObject(URI.create("string:///Source.java"), JavaFileObject.Kind.SOURCE) {
            @Override
            public CharSequence getCharContent(boolean ignoreEncodingErrors) {
                return source;
            }
        };
    }

    /** Methods over the limit, each with its length. */
    private static List<MethodLength> tooLong(List<MethodLength> lengths) {
        return lengths.stream().filter(m -> m.lines() > MAX_LINES).toList();
    }

    @Test
    void decisionsUseNoClockThreadSocketFileOrLogger() {
        withoutIo(DECISIONS).check(MAIN);
        assertThrows(
                AssertionError.class,
                () -> withoutIo(JavaClass.Predicates.resideInAPackage("mulleinfront.proxy"))
                        .check(MAIN));
    }

    /** The limit holds for formatted source, which the build's formatter check ensures. */
    @Test
    void methodsAreShort() throws Exception {
        List<MethodLength> lengths = new ArrayList<>();
        for (Path file : decisionFiles()) {
            lengths.addAll(methodLengths(Files.readString(file)));
        }
        assertTrue(lengths.size() > 100, "all methods are read");
        assertEquals(List.of(), tooLong(lengths));
    }

    @Test
    void aLongMethodIsFound() throws Exception {
        String filler = "\n".repeat(MAX_LINES - 3);
        String source = "class A {\n  class B {\n    @Deprecated\n    void atLimit() {" + filler + "\n    }\n"
                + "    /** Not counted. */\n    @Deprecated\n    B() {" + filler + "\n\n    }\n  }\n}\n";
        assertEquals(
                List.of(new MethodLength("A.B.atLimit", MAX_LINES), new MethodLength("A.B.<init>", MAX_LINES + 1)),
                methodLengths(source));
        assertEquals(List.of(new MethodLength("A.B.<init>", MAX_LINES + 1)), tooLong(methodLengths(source)));
    }

    @Test
    void linesAreNarrow() throws Exception {
        List<String> tooWide = new ArrayList<>();
        for (Path file : decisionFiles()) {
            for (String line : Files.readAllLines(file)) {
                if (line.length() > MAX_COLUMNS) {
                    tooWide.add(file.getFileName() + ": " + line);
                }
            }
        }
        assertEquals(List.of(), tooWide);
    }

    @Test
    void decisionsNameNoDeployment() throws Exception {
        for (Path file : List.of(MODULE, Path.of("src/main/java/mulleinfront/Balancer.java"))) {
            String text = Files.readString(file).toLowerCase();
            for (String name : List.of(
                    "lisboa",
                    "factoring",
                    "vacature",
                    "confirm",
                    "payout",
                    "invoice",
                    "vacancy",
                    "publish",
                    "mechelen",
                    "oeiras",
                    "khan-uul",
                    "rotas",
                    "getname",
                    ".name()")) {
                assertFalse(text.contains(name), file + ": " + name);
            }
        }
    }
}
