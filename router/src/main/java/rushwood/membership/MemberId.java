package rushwood.membership;

/**
 * A router of the tier, by the IPv4 address and port that its peers send to: six bytes on the wire.
 */
public record MemberId(int address, int port) implements Comparable<MemberId> {
  public MemberId {
    if (port < 0 || port > 0xffff) {
      throw new IllegalArgumentException("port " + port + " is not one of 0 to 65535");
    }
  }

  /** From "a.b.c.d:port"; a name or an IPv6 address is no member's. */
  public static MemberId parse(String text) {
    int colon = text.lastIndexOf(':');
    String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
    if (parts.length != 4) {
      throw new IllegalArgumentException("'" + text + "' is not an IPv4 address with a port");
    }
    int address = 0;
    for (String part : parts) {
      int octet = Integer.parseInt(part);
      if (octet < 0 || octet > 255) {
        throw new IllegalArgumentException("'" + text + "' has an octet outside 0 to 255");
      }
      address = address << 8 | octet;
    }
    return new MemberId(address, Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public int compareTo(MemberId other) {
    int byAddress = Integer.compareUnsigned(address, other.address);
    return byAddress != 0 ? byAddress : Integer.compare(port, other.port);
  }

  @Override
  public String toString() {
    return (address >>> 24)
        + "."
        + (address >>> 16 & 0xff)
        + "."
        + (address >>> 8 & 0xff)
        + "."
        + (address & 0xff)
        + ":"
        + port;
  }
}
