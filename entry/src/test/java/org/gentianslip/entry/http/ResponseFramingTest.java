package org.gentianslip.entry.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against parts of responses, and joined ones, that are read as whole ones. */
@DisplayName("The check of the head of a response")
class ResponseFramingTest {

  private static boolean accepts(String reasonPhrase, String... headers) {
    HttpHeaders received = new DefaultHttpHeaders(false);
    for (String header : headers) {
      int colon = header.indexOf(':');
      received.add(header.substring(0, colon), header.substring(colon + 1).trim());
    }
    return ResponseFraming.fault(200, reasonPhrase, received).isEmpty();
  }

  @Test
  void acceptsHeadsWithoutLength() {
    assertThat(accepts("", "Date: now"), is(true));
  }

  @Test
  void acceptsOneLength() {
    assertThat(accepts("OK", "Content-Length: 05"), is(true));
  }

  @Test
  void acceptsChunks() {
    assertThat(accepts("OK", "Transfer-Encoding: Chunked"), is(true));
  }

  @ParameterizedTest
  @ValueSource(strings = {"Via: HTTP/1.1 proxy", "Upgrade: HTTP/2.0", "Server: a HTTP/1.1"})
  void acceptsNamesOfTheProtocol(String header) {
    assertThat(accepts("OK", header), is(true));
  }

  @Test
  void acceptsNoSecondLength() {
    assertThat(accepts("OK", "Content-Length: 5", "content-length: 5"), is(false));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "-1", "+5", "5x", "0x5", "3, 5", "5 5"})
  void acceptsNoOtherLength(String length) {
    assertThat(accepts("OK", "Content-Length: " + length), is(false));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "gzip", "gzip, chunked", "chunked, chunked", "identity"})
  void acceptsNoOtherTransferCoding(String coding) {
    assertThat(accepts("OK", "Transfer-Encoding: " + coding), is(false));
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 500 No", "OKHTTP/1.1 500 No", "O HTTP/1.0 200"})
  void acceptsNoStatusLineWithinTheHead(String text) {
    assertThat(accepts(text), is(false));
    assertThat(accepts("OK", "Note: " + text), is(false));
    assertThat(accepts("OK", text + ": x"), is(false));
  }
}
