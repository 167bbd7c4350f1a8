package org.gentianslip.entry.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("The parser of addresses")
class SocketAddressParserTest {

  @Test
  void readsTheAddressAndThePort() {
    InetSocketAddress address = SocketAddressParser.parse("10.1.0.35:8144");
    assertThat(address.getAddress().getHostAddress(), is("10.1.0.35"));
    assertThat(address.getPort(), is(8144));
  }

  @Test
  void readsAddressesOfVersionSix() {
    assertThat(SocketAddressParser.parse("[::1]:80").getPort(), is(80));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "10.1.0.35:99999",
        "10.1.0.35:65536",
        "10.1.0.35:0",
        "10.1.0.35:-1",
        "10.1.0.35:",
        "10.1.0.35:8x",
        "10.1.0.35:99999999999999999999",
        "10.1.0.35",
        "10.1.0.256:80",
        "server.example:80",
        ":80",
        ""
      })
  void refusesOtherTexts(String text) {
    var e = assertThrows(IllegalArgumentException.class, () -> SocketAddressParser.parse(text));
    assertThat(e.getMessage(), containsString(text));
  }
}
