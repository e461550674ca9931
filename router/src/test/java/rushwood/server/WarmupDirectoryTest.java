package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class WarmupDirectoryTest {
  @TempDir Path folder;

  @Test
  void isCreatedWhereTheEnvironmentSays() throws IOException {
    Path directory = WarmupDirectory.create(Map.of("TMPDIR", folder.toString()));
    assertEquals(folder, directory.getParent());
    assertTrue(Files.isDirectory(directory));
  }

  @Test
  void pathsThatAreTooLongForSocketsAreRejected() throws IOException {
    Path deep = Files.createDirectory(folder.resolve("x".repeat(100)));
    assertThrows(
        IOException.class, () -> WarmupDirectory.create(Map.of("TMPDIR", deep.toString())));
    try (Stream<Path> left = Files.list(deep)) {
      assertEquals(List.of(), left.toList());
    }
  }
}
