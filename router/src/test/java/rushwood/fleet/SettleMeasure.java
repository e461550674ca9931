package rushwood.fleet;

import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Time from one crash until every member holds it dead, and datagrams a second per member, against
 * the tier's size on the virtual tier. Long: only with -Drushwood.measure=true, out of CI.
 */
class SettleMeasure {
  @Test
  void settleAgainstSize() {
    assumeTrue(Boolean.getBoolean("rushwood.measure"));
    FleetSettings set = FleetSettings.defaults();
    for (String each : System.getProperty("rushwood.sizes", "3,5,10,20,100,1000").split(",")) {
      int size = Integer.parseInt(each);
      int seeds = size >= 1000 ? 3 : 10;
      long[] took = new long[seeds];
      double rate = 0;
      double bytes = 0;
      for (int seed = 0; seed < seeds; seed++) {
        Tier tier = new Tier(size, seed, set);
        tier.run(
            (4 + size / 40) * Tier.SECOND); // until each has heard of each: 1,000 need some 25 s
        long sent = tier.sent;
        long sentBytes = tier.bytes;
        long from = tier.now;
        tier.crash(size / 2);
        took[seed] =
            tier.until(
                () -> tier.everywhere(size / 2, MemberState.DEAD), 20 * Tier.MS, 60 * Tier.SECOND);
        double seconds = (tier.now - from) / 1e9;
        rate += (tier.sent - sent) / seconds / size / seeds;
        bytes += (tier.bytes - sentBytes) / seconds / size / seeds;
      }
      Arrays.sort(took);
      System.out.printf(
          "size %5d  settled after a crash: median %.2f s, worst %.2f s  "
              + "datagrams %.1f/s, bytes %.0f/s a member%n",
          size, took[seeds / 2] / 1e9, took[seeds - 1] / 1e9, rate, bytes);
    }
  }
}
