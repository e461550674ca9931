package rushwood.membership;

import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Measures, on a virtual clock and for several numbers of members, the time from a crash until all
 * other members consider the crashed one dead, and the datagrams and bytes that each member sends
 * per second. Takes minutes, so it runs only with {@code -Drushwood.measure=true} and not in CI.
 */
class ConvergenceMeasurement {
  @Test
  void convergenceTimeBySize() {
    assumeTrue(Boolean.getBoolean("rushwood.measure"));
    MembershipSettings settings = MembershipSettings.defaults();
    for (String sizeText : System.getProperty("rushwood.sizes", "3,5,10,20,100,1000").split(",")) {
      int size = Integer.parseInt(sizeText);
      int seeds = size >= 1000 ? 3 : 10;
      long[] elapsed = new long[seeds];
      double datagramsPerSecond = 0;
      double bytesPerSecond = 0;
      for (int seed = 0; seed < seeds; seed++) {
        SimulatedMembers cluster = new SimulatedMembers(size, seed, settings);
        // Long enough for the updates about all members to spread: 1,000 members need about 25 s.
        cluster.runFor((4 + size / 40) * SimulatedMembers.SECOND);
        long datagramsBefore = cluster.sentDatagrams;
        long bytesBefore = cluster.sentBytes;
        long crashedAt = cluster.now;
        cluster.crash(size / 2);
        elapsed[seed] =
            cluster.timeUntil(
                () -> cluster.allSee(size / 2, MemberState.DEAD),
                20 * SimulatedMembers.MILLISECOND,
                60 * SimulatedMembers.SECOND);
        double seconds = (cluster.now - crashedAt) / 1e9;
        datagramsPerSecond += (cluster.sentDatagrams - datagramsBefore) / seconds / size / seeds;
        bytesPerSecond += (cluster.sentBytes - bytesBefore) / seconds / size / seeds;
      }
      Arrays.sort(elapsed);
      System.out.printf(
          "%5d members: crash detected by all after median %.2f s, maximum %.2f s; "
              + "sent per member: %.1f datagrams/s, %.0f bytes/s%n",
          size,
          elapsed[seeds / 2] / 1e9,
          elapsed[seeds - 1] / 1e9,
          datagramsPerSecond,
          bytesPerSecond);
    }
  }
}
