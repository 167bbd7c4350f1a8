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

  private String take(String text) {
    return new String(
        splitter.append(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
  }

  @Nested
  @DisplayName("with whole events")
  class WhenWhole {

    @Test
    void givesThemOutUnchanged() {
      assertThat(
          take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
    }

    @Test
    void countsThem() {
      take("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      assertThat(splitter.events(), is(2));
    }

    @Test
    void remembersTheLastId() {
      take("id: 1\ndata: a\n\nid: 22\ndata: b\n\n");
      assertThat(splitter.lastId(), is(Optional.of("22")));
    }

    @Test
    void acceptsCarriageReturns() {
      take("id: 7\r\ndata: a\r\n\r\n");
      assertThat(splitter.lastId(), is(Optional.of("7")));
    }
  }

  @Nested
  @DisplayName("with an event that is cut")
  class WhenCut {

    @Test
    void keepsTheRestBack() {
      assertThat(take("id: 1\ndata: a\n\nid: 2\nda"), is("id: 1\ndata: a\n\n"));
    }

    @Test
    void tellsThatPartIsLeft() {
      take("id: 1\ndata: a\n\nid: 2\nda");
      assertThat(splitter.hasPartial(), is(true));
    }

    @Test
    void doesNotCountItsId() {
      take("id: 1\ndata: a\n\nid: 2\nda");
      assertThat(splitter.lastId(), is(Optional.of("1")));
    }

    @Test
    void joinsItWithTheNextBytes() {
      take("id: 2\nda");
      assertThat(take("ta: b\n"), is(""));
      assertThat(take("\n"), is("id: 2\ndata: b\n\n"));
    }

    @Test
    void givesOutEveryByteOnceWhereverItIsCut() {
      String stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
      for (int cut = 0; cut <= stream.length(); cut++) {
        var one = new EventSplitter();
        byte[] first = one.append(stream.substring(0, cut).getBytes(StandardCharsets.UTF_8));
        byte[] second = one.append(stream.substring(cut).getBytes(StandardCharsets.UTF_8));
        assertThat(
            new String(first, StandardCharsets.UTF_8) + new String(second, StandardCharsets.UTF_8),
            is(stream));
      }
    }
  }
}
