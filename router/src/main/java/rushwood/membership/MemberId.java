package rushwood.membership;

/**
 * Identifies a router by the IPv4 address and port to which its peers send datagrams. Ordered by
 * address, then by port.
 *
 * @param address the four octets, the first in the most significant byte
 * @param port 0 to 65535
 */
public record MemberId(int address, int port) implements Comparable<MemberId> {
  private static final int MAX_PORT = 0xffff;
  private static final int OCTETS = 4;
  private static final int MAX_OCTET = 255;

  /** Throws {@link IllegalArgumentException} if the port is out of range. */
  public MemberId {
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port " + port + " is out of range 0 to " + MAX_PORT);
    }
  }

  /**
   * Parses an IPv4 address and port of the form "a.b.c.d:port".
   *
   * @throws IllegalArgumentException for any other text, such as a host name or an IPv6 address
   */
  public static MemberId parse(String text) {
    int colon = text.lastIndexOf(':');
    String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
    if (parts.length != OCTETS) {
      throw new IllegalArgumentException("'" + text + "' is not of the form a.b.c.d:port");
    }
    int address = 0;
    for (String part : parts) {
      int octet = Integer.parseInt(part);
      if (octet < 0 || octet > MAX_OCTET) {
        throw new IllegalArgumentException("'" + text + "' has an octet outside 0 to 255");
      }
      address = address << 8 | octet;
    }
    return new MemberId(address, Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public int compareTo(MemberId other) {
    int addressOrder = Integer.compareUnsigned(address, other.address);
    return addressOrder != 0 ? addressOrder : Integer.compare(port, other.port);
  }

  @Override
  public String toString() {
    return String.format(
        "%d.%d.%d.%d:%d",
        address >>> 24, address >>> 16 & 0xff, address >>> 8 & 0xff, address & 0xff, port);
  }
}
