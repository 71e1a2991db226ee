package org.endivemux.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import net.jqwik.api.Example;

/** Tests when settings turn overload protection on. */
final class OverloadSettingsTest {
  /** Guards against a change for deployments whose settings do not ask for it. */
  @Example
  void protectionIsOnWhereAContractOrTheSettingAsksForIt() throws IOException {
    assertThat(isProtected("")).isFalse();
    assertThat(isProtected("contracts: [\"base\", \"drain\"]")).isFalse();
    assertThat(isProtected("contracts: [\"base\", \"pressure\"]")).isTrue();
    assertThat(isProtected("contracts: [\"pressure\"]\noverloadProtection: false")).isFalse();
    assertThat(isProtected("overloadProtection: true")).isTrue();
  }

  private static boolean isProtected(String lines) throws IOException {
    return SettingsText.read(lines).isOverloadProtected();
  }
}
