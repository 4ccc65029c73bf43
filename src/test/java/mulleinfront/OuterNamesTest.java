package mulleinfront;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Names that users and other programs rely on must still occur in the program: settings, options, report keys. */
class OuterNamesTest {
    private static final Path NAMES = Path.of("docs/outer-names.txt");
    private static final Path CLASSES = Path.of("target/classes");

    /**
     * Reads the string constants of one class file: the {@code CONSTANT_String} entries of its constant pool and
     * the strings in its {@code RuntimeVisibleAnnotations}. Identifiers and descriptors are left out.
     */
    private static final class ClassFileStrings {
        private static final int MAGIC = 0xCAFEBABE;
        private static final int UTF8 = 1;
        private static final int INTEGER = 3;
        private static final int FLOAT = 4;
        private static final int LONG = 5;
        private static final int DOUBLE = 6;
        private static final int CLASS = 7;
        private static final int STRING = 8;
        private static final int FIELD = 9;
        private static final int METHOD = 10;
        private static final int INTERFACE_METHOD = 11;
        private static final int NAME_AND_TYPE = 12;
        private static final int METHOD_HANDLE = 15;
        private static final int METHOD_TYPE = 16;
        private static final int DYNAMIC = 17;
        private static final int INVOKE_DYNAMIC = 18;
        private static final int MODULE = 19;
        private static final int PACKAGE = 20;

        private final DataInputStream in;
        private final Set<String> strings;
        private String[] texts;

        private ClassFileStrings(DataInputStream in, Set<String> strings) {
            this.in = in;
            this.strings = strings;
        }

        /** Adds the string constants of a class file to a set. */
        static void collect(byte[] classFile, Set<String> strings) throws IOException {
            new ClassFileStrings(new DataInputStream(new ByteArrayInputStream(classFile)), strings).read();
        }

        private void read() throws IOException {
            if (in.readInt() != MAGIC) {
                throw new IOException("not a class file");
            }
            skip(4); // version
            readConstantPool();
            skip(6); // access flags, this class and superclass
            skip(2 * in.readUnsignedShort()); // interfaces
            readMembers(); // fields
            readMembers(); // methods
            readAttributes();
        }

        private void readConstantPool() throws IOException {
            texts = new String[in.readUnsignedShort()];
            List<Integer> stringIndexes = new ArrayList<>();
            for (int i = 1; i < texts.length; i++) {
                int tag = in.readUnsignedByte();
                switch (tag) {
                    case UTF8 -> texts[i] = in.readUTF();
                    case STRING -> stringIndexes.add(in.readUnsignedShort());
                    case CLASS, METHOD_TYPE, MODULE, PACKAGE -> skip(2);
                    case METHOD_HANDLE -> skip(3);
                    case INTEGER, FLOAT, FIELD, METHOD, INTERFACE_METHOD, NAME_AND_TYPE, DYNAMIC, INVOKE_DYNAMIC ->
                        skip(4);
                    case LONG, DOUBLE -> {
                        skip(8);
                        i++; // takes two entries
                    }
                    default -> throw new IOException("constant with tag " + tag);
                }
            }
            stringIndexes.forEach(index -> strings.add(texts[index]));
        }

        private void readMembers() throws IOException {
            int members = in.readUnsignedShort();
            for (int i = 0; i < members; i++) {
                skip(6); // access flags, name and descriptor
                readAttributes();
            }
        }

        private void readAttributes() throws IOException {
            int attributes = in.readUnsignedShort();
            for (int i = 0; i < attributes; i++) {
                String name = texts[in.readUnsignedShort()];
                int length = in.readInt();
                if (name.equals("RuntimeVisibleAnnotations")) {
                    int annotations = in.readUnsignedShort();
                    for (int j = 0; j < annotations; j++) {
                        readAnnotation();
                    }
                } else {
                    skip(length);
                }
            }
        }

        private void readAnnotation() throws IOException {
            skip(2); // type
            int elements = in.readUnsignedShort();
            for (int i = 0; i < elements; i++) {
                skip(2); // name
                readElementValue();
            }
        }

        private void readElementValue() throws IOException {
            char tag = (char) in.readUnsignedByte();
            switch (tag) {
                case 's' -> strings.add(texts[in.readUnsignedShort()]);
                case 'e' -> skip(4);
                case '@' -> readAnnotation();
                case '[' -> {
                    int values = in.readUnsignedShort();
                    for (int i = 0; i < values; i++) {
                        readElementValue();
                    }
                }
                default -> skip(2); // a number, boolean, character or class
            }
        }

        private void skip(int bytes) throws IOException {
            in.skipNBytes(bytes);
        }
    }

    private static Set<String> programStrings() throws IOException {
        List<Path> classFiles;
        try (Stream<Path> all = Files.walk(CLASSES)) {
            classFiles = all.filter(p -> p.toString().endsWith(".class")).toList();
        }
        Set<String> strings = new TreeSet<>();
        for (Path classFile : classFiles) {
            ClassFileStrings.collect(Files.readAllBytes(classFile), strings);
        }
        return strings;
    }

    private static List<String> listedNames() throws IOException {
        return Files.readAllLines(NAMES).stream()
                .filter(line -> !line.startsWith("#"))
                .map(String::strip)
                .filter(name -> !name.isEmpty())
                .distinct()
                .toList();
    }

    /** Names that none of the strings contains as a whole word. */
    private static List<String> missing(List<String> names, Set<String> strings) {
        return names.stream()
                .filter(name -> strings.stream().noneMatch(string -> containsWord(string, name)))
                .toList();
    }

    /**
     * Whether a name occurs in a string. A name that starts and ends with a letter, digit or underscore must have no
     * letter or digit on either side; any other may occur anywhere.
     */
    private static boolean containsWord(String string, String name) {
        boolean isWord = isWordCharacter(name.charAt(0)) && isWordCharacter(name.charAt(name.length() - 1));
        for (int at = string.indexOf(name); at >= 0; at = string.indexOf(name, at + 1)) {
            int end = at + name.length();
            boolean touchesBefore = at > 0 && Character.isLetterOrDigit(string.charAt(at - 1));
            boolean touchesAfter = end < string.length() && Character.isLetterOrDigit(string.charAt(end));
            if (!isWord || !touchesBefore && !touchesAfter) {
                return true;
            }
        }
        return false;
    }

    private static boolean isWordCharacter(char character) {
        return Character.isLetterOrDigit(character) || character == '_';
    }

    @Test
    void everyOuterNameOccursInTheProgram() throws Exception {
        List<String> names = listedNames();
        assertTrue(names.size() > 1_000, names.size() + " names are read");
        assertEquals(List.of(), missing(names, programStrings()));
    }

    @Test
    void aLostNameIsReported() throws Exception {
        Set<String> strings = programStrings();
        String lost = "noSuchName7";
        // A key of the settings, an option in an annotation, an environment variable and an enum constant.
        List<String> known = List.of("askWithinUs", "--json", "NODE_CONFIG", "ASK_WITHIN");
        assertEquals(List.of(), missing(known, strings));
        assertEquals(List.of(lost), missing(List.of("askWithinUs", lost), strings));
        assertEquals(List.of("askWithin"), missing(List.of("askWithin"), Set.of("askWithinUs", "xaskWithin")));
    }
}
