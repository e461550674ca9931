package rushwood.testbed.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.jar.JarOutputStream;
import java.util.zip.ZipEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against experiments that play a jar of an older build. */
class RouterJarTest {
  private static final String BUILD_COMMAND = "make build";

  @TempDir private Path folder;
  private Path classes;
  private Path jar;

  @BeforeEach
  void compile() throws IOException {
    classes = folder.resolve("classes");
    jar = folder.resolve("router.jar");
    writeClass("a/A.class", "first");
    writeClass("a/B.class", "second");
  }

  private void writeClass(String name, String content) throws IOException {
    Path file = classes.resolve(name);
    Files.createDirectories(file.getParent());
    Files.writeString(file, content);
  }

  private void packageJar() throws IOException {
    try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar))) {
      for (String name : new String[] {"a/A.class", "a/B.class"}) {
        out.putNextEntry(new ZipEntry(name));
        out.write(Files.readAllBytes(classes.resolve(name)));
      }
      out.putNextEntry(new ZipEntry("a/resource.txt"));
    }
  }

  private void assertRefused(String problem) {
    StaleJarException refusal =
        assertThrows(
            StaleJarException.class, () -> RouterJar.requireBuiltFrom(jar, classes, BUILD_COMMAND));
    assertEquals(jar + problem + "; build it with: " + BUILD_COMMAND, refusal.getMessage());
  }

  @Test
  void jarOfTheCompiledClassesIsAccepted() throws IOException {
    packageJar();
    RouterJar.requireBuiltFrom(jar, classes, BUILD_COMMAND);
  }

  @Test
  void missingJarIsRefused() {
    assertRefused(" does not exist");
  }

  @Test
  void jarOfAnEarlierCompilationIsRefused() throws IOException {
    packageJar();
    writeClass("a/B.class", "second, changed");
    assertRefused(" has another a/B.class than " + classes);
  }

  @Test
  void jarWithoutANewClassIsRefused() throws IOException {
    packageJar();
    writeClass("a/C.class", "third");
    assertRefused(" has other classes than " + classes);
  }

  @Test
  void checksumDependsOnTheContent() throws IOException {
    Files.writeString(jar, "abc");
    assertEquals(
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
        RouterJar.checksum(jar));
  }
}
