package rushwood.membership;

import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Measures the time from a crash until every other member holds it dead, and the datagrams a second
 * of each member, by the number of members on a virtual clock. Takes minutes, so it runs only with
 * {@code -Drushwood.measure=true} and not in CI.
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
      double rate = 0;
      double bytes = 0;
      for (int seed = 0; seed < seeds; seed++) {
        SimulatedMembers cluster = new SimulatedMembers(size, seed, settings);
        // Until each has heard of each: 1,000 members need some 25 s.
        cluster.runFor((4 + size / 40) * SimulatedMembers.SECOND);
        long sent = cluster.sentDatagrams;
        long sentBytes = cluster.sentBytes;
        long from = cluster.now;
        cluster.crash(size / 2);
        elapsed[seed] =
            cluster.timeUntil(
                () -> cluster.allSee(size / 2, MemberState.DEAD),
                20 * SimulatedMembers.MILLISECOND,
                60 * SimulatedMembers.SECOND);
        double seconds = (cluster.now - from) / 1e9;
        rate += (cluster.sentDatagrams - sent) / seconds / size / seeds;
        bytes += (cluster.sentBytes - sentBytes) / seconds / size / seeds;
      }
      Arrays.sort(elapsed);
      System.out.printf(
          "size %5d  dead everywhere after a crash: median %.2f s, worst %.2f s  "
              + "datagrams %.1f/s, bytes %.0f/s a member%n",
          size, elapsed[seeds / 2] / 1e9, elapsed[seeds - 1] / 1e9, rate, bytes);
    }
  }
}
