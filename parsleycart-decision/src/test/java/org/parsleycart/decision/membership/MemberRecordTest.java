package org.parsleycart.decision.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

class MemberRecordTest {

  /**
   * Generates records whose content depends only on incarnation and sequence, as with a single
   * writer.
   */
  @Provide
  Arbitrary<MemberRecord> records() {
    return Combinators.combine(
            Arbitraries.longs().between(1, 3),
            Arbitraries.longs().between(0, 3),
            Arbitraries.of(MemberStatus.values()))
        .as(
            (incarnation, sequence, status) ->
                new MemberRecord(
                    "10.0.0.1:7402",
                    incarnation,
                    sequence,
                    status,
                    "abdali",
                    "10.0.0.1:7401",
                    Map.of("announcement", incarnation + "." + sequence),
                    List.of()));
  }

  @Property(seed = "21")
  void shouldMergeToTheSameRecordWhenTheOrderDiffers(
      @ForAll("records") MemberRecord one,
      @ForAll("records") MemberRecord two,
      @ForAll("records") MemberRecord three) {
    assertThat(one.merge(two)).isEqualTo(two.merge(one));
    assertThat(one.merge(two).merge(three)).isEqualTo(one.merge(two.merge(three)));
    assertThat(one.merge(one)).isEqualTo(one);
  }

  @Property(seed = "22")
  void shouldNeverGoBackWhenRecordsAreReorderedAndDuplicated(
      @ForAll List<@net.jqwik.api.From("records") MemberRecord> arrivals) {
    MemberRecord self =
        new MemberRecord(
            "10.0.0.9:7402",
            1,
            0,
            MemberStatus.ALIVE,
            "marka",
            "10.0.0.9:7401",
            Map.of(),
            List.of());
    MembershipTable table = new MembershipTable(self, Instant.EPOCH);
    for (MemberRecord arrival : arrivals) {
      MemberRecord before = table.find(arrival.identifier()).orElse(arrival);
      table.merge(arrival, Instant.EPOCH);
      MemberRecord after = table.find(arrival.identifier()).orElseThrow();

      assertThat(before.isNewerThan(after)).isFalse();
      assertThat(arrival.isNewerThan(after)).isFalse();
    }
  }
}
