package rushwood.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

class StartWithoutTemporaryDirectoryTest {
  @RegisterExtension final RouterProcessFixture router = RouterProcessFixture.unstarted();

  /** Guards against a router that does not start where it may not write its temporary files. */
  @Test
  void routerStartsWithoutADirectory() throws Exception {
    router.setTemporaryDirectory(router.configFile().resolve("no-directory"));
    router.launch();
    router.awaitLogLine("starting without the warm-up, which has no directory: ");
    router.awaitLogLine("serves at");
    try (TestClient client = router.connect()) {
      assertEquals(Statements.SERVED, client.query(Statements.read("r")));
    }
  }
}
