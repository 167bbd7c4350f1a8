package org.gentianslip.core.id;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class RegionIdTest {

  @Test
  void keepsItsText() {
    assertThat(RegionId.of("pk-north").value(), is("pk-north"));
  }

  @Test
  void quotesTheInvalidText() {
    var thrown = assertThrows(IllegalArgumentException.class, () -> RegionId.of("pk north"));
    assertThat(thrown.getMessage(), containsString("\"pk north\""));
  }

  @Test
  void rejectsAnEmptyText() {
    assertThrows(IllegalArgumentException.class, () -> RegionId.of(""));
  }
}
