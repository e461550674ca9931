package rushwood.membership;

import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Time from one crash until every member holds it dead, and datagrams a second per member, against
 * the tier's size on the virtual tier. Long: only with -Drushwood.measure=true, out of CI.
 */
class ConvergenceMeasurement {
  @Test
  void convergenceTimeBySize() {
    assumeTrue(Boolean.getBoolean("rushwood.measure"));
    MembershipSettings settings = MembershipSettings.defaults();
    for (String each : System.getProperty("rushwood.sizes", "3,5,10,20,100,1000").split(",")) {
      int size = Integer.parseInt(each);
      int seeds = size >= 1000 ? 3 : 10;
      long[] elapsed = new long[seeds];
      double rate = 0;
      double bytes = 0;
      for (int seed = 0; seed < seeds; seed++) {
        SimulatedMembers cluster = new SimulatedMembers(size, seed, settings);
        cluster.runFor(
            (4 + size / 40)
                * SimulatedMembers.SECOND); // until each has heard of each: 1,000 need some 25 s
        long sent = cluster.sentDatagrams;
        long sentBytes = cluster.sentBytes;
        long from = cluster.now;
        cluster.crash(size / 2);
        elapsed[seed] =
            cluster.timeUntil(
                () -> cluster.allSee(size / 2, MemberState.DEAD),
                20 * SimulatedMembers.MS,
                60 * SimulatedMembers.SECOND);
        double seconds = (cluster.now - from) / 1e9;
        rate += (cluster.sentDatagrams - sent) / seconds / size / seeds;
        bytes += (cluster.sentBytes - sentBytes) / seconds / size / seeds;
      }
      Arrays.sort(elapsed);
      System.out.printf(
          "size %5d  settled after a crash: median %.2f s, worst %.2f s  "
              + "datagrams %.1f/s, bytes %.0f/s a member%n",
          size, elapsed[seeds / 2] / 1e9, elapsed[seeds - 1] / 1e9, rate, bytes);
    }
  }
}
