package org.gentianslip.core.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("An event splitter")
class EventSplitterTest {

  private final EventSplitter splitter = new EventSplitter();

  private String append(String text) {
    return new String(
        splitter.append(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }

  @Nested
  @DisplayName("with complete events")
  class WithCompleteEvents {

    @Test
    void returnsThemUnchanged() {
      assertThat(
          append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
          is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    }

    @Test
    void countsThem() {
      append("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      assertThat(splitter.events(), is(2));
    }

    @Test
    void returnsTheLastId() {
      append("id: 1\ndata: a\n\nid: 22\ndata: b\n\n");
      assertThat(splitter.lastId(), is(Optional.of("22")));
    }

    @Test
    void acceptsCarriageReturns() {
      append("id: 7\r\ndata: a\r\n\r\n");
      assertThat(splitter.lastId(), is(Optional.of("7")));
    }
  }

  @Nested
  @DisplayName("with an incomplete event")
  class WithIncompleteEvent {

    @Test
    void buffersTheRest() {
      assertThat(append("id: 1\ndata: a\n\nid: 2\nda"), is("id: 1\ndata: a\n\n"));
    }

    @Test
    void reportsAnIncompleteEvent() {
      append("id: 1\ndata: a\n\nid: 2\nda");
      assertThat(splitter.hasIncompleteEvent(), is(true));
    }

    @Test
    void doesNotReturnItsId() {
      append("id: 1\ndata: a\n\nid: 2\nda");
      assertThat(splitter.lastId(), is(Optional.of("1")));
    }

    @Test
    void completesItWithTheNextBytes() {
      append("id: 2\nda");
      assertThat(append("ta: b\n"), is(""));
      assertThat(append("\n"), is("id: 2\ndata: b\n\n"));
    }

    @Test
    void returnsEveryByteOnceWhereverItIsSplit() {
      String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
      for (int split = 0; split <= stream.length(); split++) {
        var one = new EventSplitter();
        byte[] first = one.append(stream.substring(0, split).getBytes(StandardCharsets.UTF_8));
        byte[] second = one.append(stream.substring(split).getBytes(StandardCharsets.UTF_8));
        assertThat(
            new String(first, StandardCharsets.UTF_8) + new String(second, StandardCharsets.UTF_8),
            is(stream));
      }
    }
  }
}
