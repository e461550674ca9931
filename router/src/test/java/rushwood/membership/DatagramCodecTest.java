package rushwood.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DatagramCodecTest {
  @Test
  void truncatedAndCorruptedDatagramsAreRejected() {
    SimulatedMembers cluster = new SimulatedMembers(12, 10, MembershipSettings.defaults());
    cluster.runFor(2 * SimulatedMembers.SECOND);
    int flippedBits = 0;
    for (byte[] valid : cluster.sampleDatagrams) {
      assertTrue(DatagramCodec.decode(valid, valid.length).isPresent());
      for (int length = 0; length < valid.length; length++) {
        assertEquals(
            Optional.empty(), DatagramCodec.decode(valid, length), "truncated to " + length);
      }
      for (int bit = 0; bit < valid.length * Byte.SIZE; bit++) {
        byte[] corrupted = valid.clone();
        corrupted[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
        assertEquals(
            Optional.empty(), DatagramCodec.decode(corrupted, corrupted.length), "bit " + bit);
        flippedBits++;
      }
    }
    assertTrue(flippedBits > 10_000, "flipped bits: " + flippedBits);
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
