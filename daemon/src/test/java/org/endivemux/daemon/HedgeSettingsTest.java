package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import net.jqwik.api.Example;

/** Tests when settings turn hedging on. */
final class HedgeSettingsTest {
  /** Guards against hedges that the operator has not asked for. */
  @Example
  void hedgingIsOffUnlessAShareIsSet() throws IOException {
    assertThat(SettingsText.read("").hedgePolicy()).isEmpty();
    assertThat(SettingsText.read("hedgeShare: 0").hedgePolicy()).isEmpty();
    assertThat(SettingsText.read("hedgeQuantile: 0.9").hedgePolicy()).isEmpty();
    assertThat(SettingsText.read("hedgeShare: 0.05").hedgePolicy()).isPresent();
  }

  /** Guards against a start with a limit that means something else than the operator thinks. */
  @Example
  void valuesOutOfRangeAreRefused() {
    for (String line :
        new String[] {"hedgeShare: 5", "hedgeShare: -1", "hedgeShare: 0.1\nhedgeQuantile: 95"}) {
      assertThatThrownBy(() -> SettingsText.read(line))
          .isInstanceOf(SettingsException.class)
          .hasMessageContaining("hedgeShare");
    }
  }
}
