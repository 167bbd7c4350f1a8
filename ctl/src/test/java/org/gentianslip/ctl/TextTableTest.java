package org.gentianslip.ctl;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class TextTableTest {

  @Test
  void alignsColumns() {
    assertThat(
        TextTable.of("A", "LONG").add("value", 1).lines(), contains("A      LONG", "value  1"));
  }

  @Test
  void wrapsWidestColumnAtSpaces() {
    List<String> lines = TextTable.of("A", "B").add("x", "word ".repeat(30).strip()).lines();
    assertThat(
        lines.subList(1, 3),
        contains("x  " + "word ".repeat(19).strip(), "   " + "word ".repeat(11).strip()));
  }

  @Test
  void wrapsLongWords() {
    List<String> lines = TextTable.of("A", "B").add("x".repeat(150), "y".repeat(150)).lines();
    assertThat(
        lines.stream().map(String::length).toList(),
        everyItem(lessThanOrEqualTo(TextTable.MAX_WIDTH)));
  }

  @Test
  void keepsAllCharactersOfLongWords() {
    List<String> lines = TextTable.of("A", "B").add("x".repeat(150), "y".repeat(150)).lines();
    assertThat(String.join("", lines).chars().filter(c -> c == 'x').count(), is(150L));
  }

  @Test
  void rejectsRowWithWrongNumberOfCells() {
    assertThrows(IllegalArgumentException.class, () -> TextTable.of("A").add("x", "y"));
  }
}
