package org.endivemux.control.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.endivemux.model.Declaration;
import org.endivemux.model.Declaration.Organisation;
import org.endivemux.model.OrganisationId;
import org.endivemux.wire.MessagePackCodec;

/** Checks that a delta, encoded and decoded, turns one declaration into another. */
final class DeclarationDeltaTest {
  @Property(tries = 200, seed = "7")
  void deltaYieldsTheItemsOfTheNewDeclaration(
      @ForAll @Size(max = 8) Set<@IntRange(max = 9) Integer> before,
      @ForAll @Size(max = 8) Set<@IntRange(max = 9) Integer> after,
      @ForAll @IntRange(min = 1, max = 3) int share) {
    Declaration oldDeclaration = declaration(before, 1);
    Declaration newDeclaration = declaration(after, share);
    byte[] bytes =
        MessagePackCodec.encode(
            new ViewChange.Configured(2, DeclarationDelta.between(oldDeclaration, newDeclaration)));
    ViewChange.Configured decoded =
        (ViewChange.Configured) MessagePackCodec.decode(bytes, ViewChange.class);
    Declaration result = decoded.delta().applyTo(oldDeclaration);
    assertThat(result.organisations())
        .containsExactlyInAnyOrderElementsOf(newDeclaration.organisations());
    assertThat(result.budgetPerHour()).isEqualTo(newDeclaration.budgetPerHour());
  }

  private static Declaration declaration(Set<Integer> organisations, int share) {
    List<Organisation> list =
        organisations.stream()
            .map(i -> new Organisation(new OrganisationId("org" + i), share, List.of()))
            .toList();
    return new Declaration(list, List.of(), List.of(), List.of(), share);
  }
}
