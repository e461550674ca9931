package rushwood.discovery;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/** Parses an IP address and port, as in {@code 10.1.0.18:6432}. */
public final class EndpointAddressParser {
  private EndpointAddressParser() {}

  /** The address; empty if {@code text} is none. Host names are none: nothing is looked up. */
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
      // no port, or one out of range; an IP address of four or sixteen bytes is never unknown
    }
    return Optional.empty();
  }
}
