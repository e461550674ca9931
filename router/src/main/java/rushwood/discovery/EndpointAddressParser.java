package rushwood.discovery;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Parses an IP address with a port, such as {@code 10.1.0.18:6432}. */
public final class EndpointAddressParser {
  private EndpointAddressParser() {}

  /** Returns the address; empty if {@code text} is invalid. Host names are not resolved. */
  public static Optional<InetSocketAddress> parse(String text) {
    int colon = text.lastIndexOf(':');
    try {
      String host = text.substring(0, Math.max(0, colon));
      byte[] ip = NetUtil.createByteArrayFromIpAddressString(host);
      if (ip != null) {
        int port = Integer.parseInt(text.substring(colon + 1));
        return Optional.of(new InetSocketAddress(InetAddress.getByAddress(ip), port));
      }
    } catch (IllegalArgumentException | UnknownHostException e) {
      // The port is not a number or out of range. UnknownHostException does not occur, because the
      // IP address has 4 or 16 bytes.
    }
    return Optional.empty();
  }
}
