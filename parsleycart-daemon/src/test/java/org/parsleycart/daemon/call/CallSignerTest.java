package org.parsleycart.daemon.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.parsleycart.link.PeerKeys;

class CallSignerTest {
  /** The signature of the earlier build, HMAC-SHA-256 of the three lines r1, u0 and read. */
  private static final String EARLIER_SIGNATURE = "404407dba92766e841870cc303559fc3";

  private static final Optional<String> NONE = Optional.empty();

  private final CallSigner signer = new CallSigner(PeerKeys.of(List.of("test-key-0123456789")));

  /** Guards against calls that daemons of the earlier build refuse during an upgrade. */
  @Test
  void shouldSignAsTheEarlierBuildWhenThereIsNoOrganisation() {
    assertThat(signer.sign("r1", "u0", "read", NONE)).isEqualTo(EARLIER_SIGNATURE);
    assertThat(signer.isValid("r1", "u0", "read", NONE, EARLIER_SIGNATURE)).isTrue();
  }

  /** Guards against an organisation that is added, removed or replaced between daemons. */
  @Test
  void shouldRejectTheSignatureWhenTheOrganisationDiffers() {
    String signature = signer.sign("r1", "u0", "read", Optional.of("a"));

    assertThat(signer.isValid("r1", "u0", "read", Optional.of("a"), signature)).isTrue();
    assertThat(signer.isValid("r1", "u0", "read", Optional.of("b"), signature)).isFalse();
    assertThat(signer.isValid("r1", "u0", "read", Optional.of(""), signature)).isFalse();
    assertThat(signer.isValid("r1", "u0", "read", NONE, signature)).isFalse();
    assertThat(signer.isValid("r1", "u0", "read", Optional.of("a"), EARLIER_SIGNATURE)).isFalse();
  }
}
