package org.gentianslip.core.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.gentianslip.core.id.Rank;
import org.gentianslip.core.id.RequestId;
import org.gentianslip.core.routing.Requests;
import org.gentianslip.core.routing.RoutingReason;
import org.gentianslip.core.routing.RoutingRequest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestQueueTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long FAR_DEADLINE_NANOS = 1000 * SECOND;
  private static final int MAX_LENGTH = 20;
  private static final double OTHER_FLOOR = 0.2;

  private final RequestQueue queue =
      RequestQueue.of(
          new QueueLimits(MAX_LENGTH, OTHER_FLOOR, SECOND / 10, 0),
          c -> c.value().startsWith("heavy") ? 3 : 1);

  private int number;

  private OfferResult offer(String customer, Rank rank, long deadlineNanos) {
    return queue.offer(0, Requests.of("r" + number++, customer, rank, deadlineNanos));
  }

  private List<String> served(int count) {
    List<String> customers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      customers.add(queue.next(0).orElseThrow().customer().value());
    }
    return customers;
  }

  @Nested
  class WithinRank {

    @Test
    void servesRequestsOfTheSameCustomerByDeadline() {
      offer("shop", Rank.URGENT, 9 * SECOND);
      offer("shop", Rank.URGENT, 3 * SECOND);
      assertThat(queue.next(0).map(RoutingRequest::deadlineNanos).orElseThrow(), is(3 * SECOND));
    }

    @Test
    void servesCustomersInProportionToTheirWeights() {
      for (int i = 0; i < 9; i++) {
        offer("heavy", Rank.OTHER, FAR_DEADLINE_NANOS);
        offer("light", Rank.OTHER, FAR_DEADLINE_NANOS);
      }
      assertThat(served(8).stream().filter("heavy"::equals).count(), is(6L));
    }

    @Test
    void servesLateCustomersSoonDespiteLargeBacklogsOfOthers() {
      for (int i = 0; i < 15; i++) {
        offer("flood", Rank.OTHER, FAR_DEADLINE_NANOS);
      }
      served(5);
      offer("late", Rank.OTHER, FAR_DEADLINE_NANOS);
      assertThat(served(2).contains("late"), is(true));
    }
  }

  @Nested
  class WithBurstCredit {

    private final RequestQueue bursting =
        RequestQueue.of(new QueueLimits(100, OTHER_FLOOR, 0, 400), c -> 1);

    @Test
    void servesShortBurstsOfQuietCustomersFirst() {
      for (int i = 0; i < 20; i++) {
        bursting.offer(0, Requests.of("f" + i, "flood", Rank.URGENT, FAR_DEADLINE_NANOS));
      }
      for (int i = 0; i < 10; i++) {
        bursting.next(0);
      }
      for (int i = 0; i < 3; i++) {
        bursting.offer(0, Requests.of("q" + i, "quiet", Rank.URGENT, FAR_DEADLINE_NANOS));
      }
      List<String> served = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        served.add(bursting.next(0).orElseThrow().customer().value());
      }
      assertThat(served, contains("quiet", "quiet", "quiet"));
    }
  }

  @Nested
  class BetweenRanks {

    @Test
    void servesTheUrgentRankFirst() {
      offer("shop", Rank.OTHER, FAR_DEADLINE_NANOS);
      offer("shop", Rank.URGENT, FAR_DEADLINE_NANOS);
      assertThat(queue.next(0).orElseThrow().rank(), is(Rank.URGENT));
    }

    @Test
    void keepsTheMinimumShareOfTheOtherRankInAnUrgentFlood() {
      int other = 0;
      int rounds = 1000;
      for (int i = 0; i < rounds; i++) {
        offer("flood", Rank.URGENT, FAR_DEADLINE_NANOS);
        offer("flood", Rank.URGENT, FAR_DEADLINE_NANOS);
        offer("quiet", Rank.OTHER, FAR_DEADLINE_NANOS);
        other += queue.next(0).orElseThrow().rank() == Rank.OTHER ? 1 : 0;
      }
      assertThat((double) other / rounds, is(closeTo(OTHER_FLOOR, 0.01)));
    }
  }

  @Nested
  class AfterTheOtherRankWasServed {

    @Test
    void servesWaitingUrgentRequestsNext() {
      for (int i = 0; i < 6; i++) {
        offer("flood", Rank.OTHER, FAR_DEADLINE_NANOS);
      }
      served(3);
      for (int i = 0; i < 5; i++) {
        offer("quiet", Rank.URGENT, FAR_DEADLINE_NANOS);
      }
      assertThat(served(5).contains("flood"), is(false));
    }
  }

  @Nested
  class WhenFull {

    @Test
    void displacesRequestsOfTheCustomerWithTheLargestBacklog() {
      for (int i = 0; i < MAX_LENGTH; i++) {
        offer("flood", Rank.URGENT, FAR_DEADLINE_NANOS + i);
      }
      OfferResult result = offer("quiet", Rank.URGENT, FAR_DEADLINE_NANOS);
      assertThat(
          ((OfferResult.AcceptedByDisplacing) result).displaced().id(),
          is(RequestId.of("r" + (MAX_LENGTH - 1))));
    }

    @Test
    void refusesRequestsOfTheCustomerWithTheLargestBacklog() {
      for (int i = 0; i < MAX_LENGTH; i++) {
        offer("flood", Rank.URGENT, FAR_DEADLINE_NANOS);
      }
      assertThat(
          ((OfferResult.Refused) offer("flood", Rank.URGENT, FAR_DEADLINE_NANOS)).reason(),
          is(RoutingReason.OVER_SHARE));
    }
  }

  @Nested
  class Deadlines {

    @Test
    void refusesRequestsThatAreLateAlready() {
      assertThat(
          ((OfferResult.Refused) offer("shop", Rank.URGENT, 1)).reason(),
          is(RoutingReason.DEADLINE));
    }

    @Test
    void refusesRequestsThatWouldMissTheirDeadline() {
      for (int i = 0; i < MAX_LENGTH; i++) {
        offer("shop", Rank.URGENT, FAR_DEADLINE_NANOS);
      }
      for (int i = 1; i <= 5; i++) {
        queue.next(i * SECOND);
      }
      long deadline = 5 * SECOND + 10 * SECOND;
      OfferResult result =
          queue.offer(5 * SECOND, Requests.of("late", "shop", Rank.URGENT, deadline));
      assertThat(result, instanceOf(OfferResult.Refused.class));
    }

    @Test
    void returnsExpiredRequests() {
      offer("shop", Rank.URGENT, 2 * SECOND);
      offer("shop", Rank.URGENT, 9 * SECOND);
      assertThat(
          queue.expire(2 * SECOND).stream().map(r -> r.id().value()).toList(), contains("r0"));
    }
  }

  @Nested
  class Removal {

    @Test
    void removesRequestsOfDisconnectedCallers() {
      offer("shop", Rank.URGENT, FAR_DEADLINE_NANOS);
      queue.remove(0, RequestId.of("r0"));
      assertThat(queue.next(0).isPresent(), is(false));
    }

    @Test
    void rejectsTheSameRequestTwice() {
      RoutingRequest request = Requests.of("same", "shop", Rank.URGENT, FAR_DEADLINE_NANOS);
      queue.offer(0, request);
      assertThrows(IllegalArgumentException.class, () -> queue.offer(0, request));
    }
  }

  @Property(seed = "11")
  void neitherLosesNorDuplicatesRequests(
      @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 11) Integer> steps) {
    var tested = RequestQueue.of(new QueueLimits(5, OTHER_FLOOR, 0, 0), c -> 1);
    int accepted = 0;
    int removed = 0;
    for (int i = 0; i < steps.size(); i++) {
      int step = steps.get(i);
      if (step >= 8) {
        removed += tested.next(i).isPresent() ? 1 : 0;
        continue;
      }
      Rank rank = step % 2 == 0 ? Rank.URGENT : Rank.OTHER;
      var result = tested.offer(i, Requests.of("p" + i, "c" + step / 2, rank, i + step * 4L));
      accepted += result instanceof OfferResult.Refused ? 0 : 1;
      removed += result instanceof OfferResult.AcceptedByDisplacing ? 1 : 0;
      removed += tested.expire(i).size();
      assertThat(tested.size(rank), is(lessThanOrEqualTo(5)));
    }
    assertThat(tested.size(Rank.URGENT) + tested.size(Rank.OTHER), is(accepted - removed));
  }
}
