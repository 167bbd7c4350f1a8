package org.gentianslip.entry.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies without a known end, whose bytes were run as requests. */
@DisplayName("The check of where the body of a request ends")
class RequestFramingTest {

  private static final Optional<HttpResponseStatus> ACCEPTED = Optional.empty();
  private static final Optional<HttpResponseStatus> BAD =
      Optional.of(HttpResponseStatus.BAD_REQUEST);

  private static HttpRequest request(HttpVersion version, String... codings) {
    var request = new DefaultHttpRequest(version, HttpMethod.POST, "/", false);
    request.headers().set(HttpHeaderNames.TRANSFER_ENCODING, List.of(codings));
    return request;
  }

  private static Optional<HttpResponseStatus> statusFor(String... codings) {
    return RequestFraming.refusalStatus(request(HttpVersion.HTTP_1_1, codings));
  }

  @Test
  void acceptsRequestsWithoutTransferCoding() {
    var request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, 5);
    assertThat(RequestFraming.refusalStatus(request), is(ACCEPTED));
  }

  @ParameterizedTest
  @ValueSource(strings = {"chunked", "Chunked", " chunked\t"})
  void acceptsChunkedBodies(String coding) {
    assertThat(statusFor(coding), is(ACCEPTED));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "identity",
        "gzip",
        "xchunked",
        "chunkedx",
        "chunked, identity",
        "chunked, gzip",
        "chunked, chunked",
        "chunked,",
        "chunked;q=1",
        "\"chunked\"",
        "",
        ","
      })
  void refusesBodiesWithoutKnownEnd(String codings) {
    assertThat(statusFor(codings), is(BAD));
  }

  @Test
  void readsAllHeadersWithTransferCodings() {
    assertThat(statusFor("chunked", "identity"), is(BAD));
  }

  @Test
  void refusesCodingsThatItCannotDecode() {
    assertThat(statusFor("gzip, chunked"), is(Optional.of(HttpResponseStatus.NOT_IMPLEMENTED)));
  }

  @Test
  void refusesChunkedBodiesWithDeclaredLength() {
    HttpRequest request = request(HttpVersion.HTTP_1_1, "chunked");
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, 5);
    assertThat(RequestFraming.refusalStatus(request), is(BAD));
  }

  @Test
  void refusesCodingsInVersionsWithoutThem() {
    assertThat(RequestFraming.refusalStatus(request(HttpVersion.HTTP_1_0, "chunked")), is(BAD));
  }
}
