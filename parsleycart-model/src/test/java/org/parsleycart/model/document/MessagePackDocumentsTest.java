package org.parsleycart.model.document;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Size;

class MessagePackDocumentsTest {

  @Property(seed = "17", tries = 2000)
  void shouldReturnAResultWhenTheBytesAreArbitrary(@ForAll @Size(max = 200) byte[] bytes) {
    assertThat(MessagePackDocuments.parse(bytes)).isNotNull();
  }

  @Property(seed = "18", tries = 500)
  void shouldReturnAResultWhenAValidDocumentIsCorrupted(
      @ForAll @Size(min = 1, max = 8) Map<@AlphaChars String, Long> entries,
      @ForAll byte corruption,
      @ForAll int position) {
    Document.MappingBuilder builder = Document.mapping();
    entries.forEach(builder::with);
    byte[] bytes = MessagePackDocuments.format(builder.build());
    bytes[Math.floorMod(position, bytes.length)] ^= corruption;

    assertThat(MessagePackDocuments.parse(bytes)).isNotNull();
  }

  @Property(seed = "19", tries = 500)
  void shouldFormatTheSameBytesWhenTheDocumentIsParsedAgain(
      @ForAll @Size(max = 8) Map<@AlphaChars String, Long> entries) {
    Document.MappingBuilder builder = Document.mapping();
    entries.forEach(builder::with);
    byte[] bytes = MessagePackDocuments.format(builder.build());

    Document parsed = MessagePackDocuments.parse(bytes).get();

    assertThat(MessagePackDocuments.format(parsed)).isEqualTo(bytes);
  }
}
