package rushwood.testbed.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestbedRequestClassTest {
  @Test
  void wireNamesAreThoseOfExperimentFiles() {
    List<String> names =
        Arrays.stream(TestbedRequestClass.values()).map(TestbedRequestClass::wireName).toList();
    assertEquals(List.of("pass", "pay", "any", "mark"), names);
  }
}
