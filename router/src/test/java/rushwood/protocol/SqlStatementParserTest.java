package rushwood.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class SqlStatementParserTest {
  private static final String READ = TestMessages.readStatement("a", ",d=1");
  private static final int MAX_FIELDS = 256;
  private static final int FIELDS_OF_READ = 5; // id, c, t, cluster and d
  private static final String WRITE = TestMessages.writeStatement("a", ",d=1");

  @AfterEach
  void assertAllBuffersReleased() {
    TestMessages.assertAllReleased();
  }

  /** Returns unknown fields with names of their own. */
  private static String manyFields(int count) {
    return IntStream.range(0, count).mapToObj(i -> ",x" + i + "=1").collect(Collectors.joining());
  }

  /** A comment with thousands of short fields took the event loop's time from other clients. */
  @Test
  void unknownFieldsAreIgnoredUpToALimit() throws ProtocolException {
    String fields = manyFields(MAX_FIELDS - FIELDS_OF_READ);
    SqlStatement statement = TestMessages.parse(TestMessages.readStatement("a", ",d=480" + fields));
    assertEquals(480_000_000L, statement.timeout().nanos());
    statement.release();
  }

  static List<String> unsupportedForms() {
    return List.of(
        TestMessages.readStatement("a", ""),
        TestMessages.readStatement("a", ",d=1,d=2"),
        TestMessages.readStatement("", ",d=1"),
        TestMessages.readStatement("a", ",d=1,x"),
        TestMessages.readStatement("a", ",d=1,x=1,x=2"),
        TestMessages.readStatement("a", ",d=1,x="),
        TestMessages.readStatement("a", ",d=1,x=" + "1".repeat(257)),
        TestMessages.readStatement("a", manyFields(MAX_FIELDS - FIELDS_OF_READ + 1) + ",d=1"),
        "SELECT val FROM state /* id=a,c=pass,d=1,cluster=2 */",
        "/* id=a,c=pass,d=1 */",
        "*/",
        READ + ";",
        READ.replace("state", "other"),
        READ.replace("k1", "k'1"),
        READ.replace("k1", ""),
        READ.replace("k1", "k\u00e9"),
        TestMessages.readStatement("a", ",d=1,x=a\nb"),
        READ.replace(" */", " */ -- */"),
        WRITE.replace("9f03", "9f0"),
        WRITE.replace("9f03", "9g03"),
        WRITE.replace("RETURNING val ", ""));
  }

  @ParameterizedTest
  @MethodSource("unsupportedForms")
  void unsupportedFormsAreSyntaxErrors(String text) {
    assertRejected("42601", text);
  }

  static List<String> statementsWithInvalidFields() {
    return List.of(
        TestMessages.readStatement("a", ",d=3600001"),
        TestMessages.readStatement("a", ",d=0"),
        TestMessages.readStatement("a", ",d=-1"),
        TestMessages.readStatement("a", ",d=99999999999"),
        TestMessages.readStatement("a", ",d=1,after=x"),
        READ.replace("c=pass", "c=none"),
        READ.replace("c=pass", "c=pay"),
        READ.replace("cluster=2", "cluster=two"),
        TestMessages.readStatement("a".repeat(200), ",d=1"));
  }

  @ParameterizedTest
  @MethodSource("statementsWithInvalidFields")
  void invalidFieldsAreInvalidParameterValues(String text) {
    assertRejected("22023", text);
  }

  private static void assertRejected(String sqlState, String text) {
    ProtocolException rejection =
        assertThrows(ProtocolException.class, () -> TestMessages.parse(text));
    assertEquals(sqlState, rejection.sqlState(), text);
    assertEquals(false, rejection.isFatal());
  }
}
