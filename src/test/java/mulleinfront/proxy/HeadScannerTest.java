package mulleinfront.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import mulleinfront.proxy.HeadScanner.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The end of a head, in pieces of any size. */
class HeadScannerTest {
    /** Scans a text in pieces; returns the first result other than INCOMPLETE, with the number of bytes before it. */
    private static String scan(String text, int pieceBytes) {
        HeadScanner scanner = new HeadScanner();
        ByteBuf in = Unpooled.buffer();
        for (int offset = 0; offset < text.length(); offset += pieceBytes) {
            String piece = text.substring(offset, Math.min(text.length(), offset + pieceBytes));
            in.writeBytes(piece.getBytes(StandardCharsets.ISO_8859_1));
            Result result = scanner.scan(in);
            if (result != Result.INCOMPLETE) {
                return result + " " + Math.min(text.length(), offset + pieceBytes);
            }
        }
        return Result.INCOMPLETE.name();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 1_000})
    void headEndsWithItsEmptyLine(int pieceBytes) {
        String head = "\r\n\r\nGET / HTTP/1.1\r\nA: b\r\n folded\r\nC:\r\n";
        assertEquals("INCOMPLETE", scan(head, pieceBytes));
        assertEquals("COMPLETE " + (head + "\r\n").length(), scan(head + "\r\n", pieceBytes));
        assertEquals("COMPLETE " + (head + "\n").length(), scan(head + "\n", pieceBytes));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', textBlock = """
            noise\\n                       | UNSOUND
            GET / HTTP/1.1\\nnoise\\n      | UNSOUND
            GET / HTTP/1.1\\n: a\\n        | UNSOUND
            noise                          | INCOMPLETE
            """)
    void lineOfNoHeadIsToldAtItsEnd(String text, String result) {
        assertEquals(result, scan(text.replace("\\n", "\r\n"), 1_000).split(" ")[0]);
    }

    @Test
    void longLinesAndHeadsAreTold() {
        assertEquals("START_LINE_TOO_LONG", scan("x".repeat(5_000), 5_000).split(" ")[0]);
        assertEquals(
                "FIELDS_TOO_LONG",
                scan("GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(4_000), 100).split(" ")[0]);
    }
}
