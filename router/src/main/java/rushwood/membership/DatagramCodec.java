package rushwood.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * Encodes and decodes a {@link PeerMessage} as one datagram.
 *
 * <p>The fields are big-endian, in this order: format version (1 byte), kind (1), the sender's
 * incarnation (8), sequence number (4), target (6), number of updates (1), the updates (21 each)
 * and a CRC-32 of all preceding bytes (4). An update consists of the member (6), its state (1), its
 * incarnation (8) and the origin (6). A member is encoded as its IPv4 address (4) and port (2).
 *
 * <p>A malformed datagram is rejected as a whole.
 */
public final class DatagramCodec {
  /** Maximum size of a datagram. The platform invalidates a run that sends a longer one. */
  public static final int MAX_BYTES = 256;

  /** Maximum number of updates in a datagram. {@link #MAX_BYTES} would have room for 11. */
  static final int MAX_UPDATES = 10;

  private static final byte FORMAT_VERSION = 1;
  private static final int MEMBER_BYTES = Integer.BYTES + Short.BYTES;
  private static final int HEADER_BYTES =
      Byte.BYTES + Byte.BYTES + Long.BYTES + Integer.BYTES + MEMBER_BYTES + Byte.BYTES;
  private static final int UPDATE_BYTES = MEMBER_BYTES + Byte.BYTES + Long.BYTES + MEMBER_BYTES;
  private static final int CHECKSUM_BYTES = Integer.BYTES;
  private static final int UPDATE_COUNT_OFFSET = HEADER_BYTES - Byte.BYTES;

  /** Each kind is encoded as its index in this list. */
  private static final List<PeerMessage.Kind> KINDS =
      List.of(PeerMessage.Kind.PING, PeerMessage.Kind.ACK, PeerMessage.Kind.PING_REQ);

  /** Each state is encoded as its index in this list. */
  private static final List<MemberState> STATES =
      List.of(MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT);

  static {
    if (encodedBytes(MAX_UPDATES) > MAX_BYTES) {
      throw new ExceptionInInitializerError(
          MAX_UPDATES + " updates do not fit into " + MAX_BYTES + " bytes");
    }
  }

  private DatagramCodec() {}

  /**
   * Encodes a message as a datagram of at most {@link #MAX_BYTES} bytes.
   *
   * @throws IllegalArgumentException if the message has more than 10 updates
   */
  public static byte[] encode(PeerMessage message) {
    List<MembershipUpdate> updates = message.updates();
    if (updates.size() > MAX_UPDATES) {
      throw new IllegalArgumentException(
          "message has " + updates.size() + " updates; at most " + MAX_UPDATES + " are allowed");
    }
    ByteBuffer out = ByteBuffer.allocate(encodedBytes(updates.size()));
    out.put(FORMAT_VERSION);
    out.put((byte) KINDS.indexOf(message.kind()));
    out.putLong(message.incarnation());
    out.putInt(message.sequenceNumber());
    writeMemberId(out, message.target());
    out.put((byte) updates.size());
    updates.forEach(update -> writeUpdate(out, update));
    out.putInt(crc32(out.array(), out.position()));
    return out.array();
  }

  /**
   * Decodes the datagram in the first {@code length} bytes.
   *
   * @return the message, or empty if the datagram is malformed
   */
  public static Optional<PeerMessage> decode(byte[] bytes, int length) {
    if (!isIntact(bytes, length)) {
      return Optional.empty();
    }
    ByteBuffer in = ByteBuffer.wrap(bytes, 0, length);
    byte formatVersion = in.get();
    int kind = Byte.toUnsignedInt(in.get());
    if (formatVersion != FORMAT_VERSION || kind >= KINDS.size()) {
      return Optional.empty();
    }
    long incarnation = in.getLong();
    int sequenceNumber = in.getInt();
    MemberId target = readMemberId(in);
    int updateCount = Byte.toUnsignedInt(in.get());
    List<MembershipUpdate> updates = new ArrayList<>(updateCount);
    for (int i = 0; i < updateCount; i++) {
      Optional<MembershipUpdate> update = readUpdate(in);
      if (update.isEmpty()) {
        return Optional.empty();
      }
      updates.add(update.get());
    }
    return Optional.of(
        new PeerMessage(KINDS.get(kind), incarnation, sequenceNumber, target, updates));
  }

  /** Returns whether the length fits the encoded number of updates and the checksum matches. */
  private static boolean isIntact(byte[] bytes, int length) {
    if (length < encodedBytes(0) || length > MAX_BYTES || length > bytes.length) {
      return false;
    }
    int updateCount = Byte.toUnsignedInt(bytes[UPDATE_COUNT_OFFSET]);
    if (updateCount > MAX_UPDATES || length != encodedBytes(updateCount)) {
      return false;
    }
    int checksumOffset = length - CHECKSUM_BYTES;
    return ByteBuffer.wrap(bytes).getInt(checksumOffset) == crc32(bytes, checksumOffset);
  }

  private static int encodedBytes(int updateCount) {
    return HEADER_BYTES + updateCount * UPDATE_BYTES + CHECKSUM_BYTES;
  }

  private static void writeUpdate(ByteBuffer out, MembershipUpdate update) {
    writeMemberId(out, update.member());
    out.put((byte) STATES.indexOf(update.state()));
    out.putLong(update.incarnation());
    writeMemberId(out, update.origin());
  }

  private static Optional<MembershipUpdate> readUpdate(ByteBuffer in) {
    MemberId member = readMemberId(in);
    int state = Byte.toUnsignedInt(in.get());
    long incarnation = in.getLong();
    MemberId origin = readMemberId(in);
    return state < STATES.size()
        ? Optional.of(new MembershipUpdate(member, STATES.get(state), incarnation, origin))
        : Optional.empty();
  }

  private static void writeMemberId(ByteBuffer out, MemberId id) {
    out.putInt(id.address());
    out.putShort((short) id.port());
  }

  private static MemberId readMemberId(ByteBuffer in) {
    return new MemberId(in.getInt(), Short.toUnsignedInt(in.getShort()));
  }

  private static int crc32(byte[] bytes, int length) {
    CRC32 crc = new CRC32();
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }
}
