package rushwood.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DatagramCodecTest {
  @Test
  void truncatedOrFlippedDatagramsAreRejected() {
    SimulatedMembers cluster = new SimulatedMembers(12, 10, MembershipSettings.defaults());
    cluster.runFor(2 * SimulatedMembers.SECOND);
    int checked = 0;
    for (byte[] good : cluster.sampleDatagrams) {
      assertTrue(DatagramCodec.decode(good, good.length).isPresent());
      for (int length = 0; length < good.length; length++) {
        assertEquals(Optional.empty(), DatagramCodec.decode(good, length), "cut at " + length);
      }
      for (int bit = 0; bit < good.length * Byte.SIZE; bit++) {
        byte[] bad = good.clone();
        bad[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
        assertEquals(Optional.empty(), DatagramCodec.decode(bad, bad.length), "bit " + bit);
        checked++;
      }
    }
    assertTrue(checked > 10_000, "bits flipped: " + checked);
  }

  @Test
  void maximumUpdatesFitIn256Bytes() {
    List<MembershipUpdate> updates =
        IntStream.range(0, DatagramCodec.MAX_UPDATES)
            .mapToObj(
                i ->
                    new MembershipUpdate(
                        new MemberId(i, i),
                        MemberState.SUSPECT,
                        Long.MAX_VALUE,
                        new MemberId(-1, 65535)))
            .toList();
    PeerMessage message =
        new PeerMessage(
            PeerMessage.Kind.PING_REQ,
            Long.MAX_VALUE,
            Integer.MAX_VALUE,
            new MemberId(-1, 1),
            updates);
    byte[] bytes = DatagramCodec.encode(message);
    assertTrue(bytes.length <= DatagramCodec.MAX_BYTES, bytes.length + " bytes");
    assertEquals(Optional.of(message), DatagramCodec.decode(bytes, bytes.length));
  }
}
