package rushwood.testbed.standin;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.jar.JarFile;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;

/** Tells which build of the router a jar holds. */
public final class RouterJar {
  private static final String CLASS_SUFFIX = ".class";

  private RouterJar() {}

  /**
   * Returns the SHA-256 checksum of a file in hexadecimal.
   *
   * @throws IOException if the file cannot be read
   */
  public static String checksum(Path jar) throws IOException {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(jar));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Checks that a jar exists and holds the same classes as a directory.
   *
   * @param classesDirectory the compiler's output
   * @param buildCommand the command that builds the jar, for the message
   * @throws StaleJarException if it does not; the message is one line
   * @throws IOException if the files cannot be read
   */
  public static void requireBuiltFrom(Path jar, Path classesDirectory, String buildCommand)
      throws IOException {
    String problem = problemOf(jar, classesDirectory);
    if (!problem.isEmpty()) {
      throw new StaleJarException(jar + " " + problem + "; build it with: " + buildCommand);
    }
  }

  /** Returns what is wrong with the jar; empty if it holds the classes of the directory. */
  private static String problemOf(Path jar, Path classesDirectory) throws IOException {
    if (!Files.exists(jar)) {
      return "does not exist";
    }
    Set<String> compiled = classFiles(classesDirectory);
    try (JarFile file = new JarFile(jar.toFile())) {
      Set<String> packaged =
          file.stream()
              .map(ZipEntry::getName)
              .filter(name -> name.endsWith(CLASS_SUFFIX))
              .collect(Collectors.toSet());
      if (!packaged.equals(compiled)) {
        return "has other classes than " + classesDirectory;
      }
      for (String name : compiled) {
        if (!Arrays.equals(
            contentOf(file, name), Files.readAllBytes(classesDirectory.resolve(name)))) {
          return "has another " + name + " than " + classesDirectory;
        }
      }
    }
    return "";
  }

  private static Set<String> classFiles(Path directory) throws IOException {
    try (Stream<Path> files = Files.walk(directory)) {
      List<String> names =
          files
              .map(file -> directory.relativize(file).toString())
              .filter(name -> name.endsWith(CLASS_SUFFIX))
              .toList();
      return new TreeSet<>(names);
    }
  }

  private static byte[] contentOf(JarFile file, String name) throws IOException {
    try (InputStream in = file.getInputStream(file.getJarEntry(name))) {
      return in.readAllBytes();
    }
  }
}
