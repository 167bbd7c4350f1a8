package org.gentianslip.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.gentianslip.core.id.CustomerId;
import org.gentianslip.core.id.RegionId;
import org.gentianslip.core.id.Revision;

/**
 * Parses and validates the documents of a revision; equal documents always give equal results.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @see ParseResult
 */
public final class SettingsParser {

  private static final String DEFAULT_SOURCE = "settings";

  private SettingsParser() {}

  /**
   * Parses the documents as one state of the settings.
   *
   * <p>All errors are reported in one run. If a document cannot be read at all, the missing
   * declarations that it may contain, such as the parent of a branch, are not reported as errors.
   *
   * @param revision the revision of the resulting settings
   * @param documents the documents that together make up the state
   */
  public static ParseResult parse(Revision revision, List<SettingsDocument> documents) {
    Objects.requireNonNull(revision, "revision");
    var findings = new FindingCollector();
    var content = new SettingsContent();
    boolean complete = readAll(documents, content, findings);
    var references = new ReferenceChecker(content, findings);
    references.findDuplicates();
    if (!complete) {
      TreeBuilder.build(content, false, findings);
      return new ParseResult.Rejected(findings.toList());
    }
    if (content.regions.isEmpty()) {
      String source = documents.isEmpty() ? DEFAULT_SOURCE : documents.get(0).source();
      findings.add(Location.rootOf(source).at("regions"), "At least one region must be declared");
    }
    references.findUnknown();
    List<BranchNode> tree = TreeBuilder.build(content, true, findings);
    references.findCustomersOfOtherFirms(tree);
    return resolve(revision, content, tree, findings);
  }

  private static boolean readAll(
      List<SettingsDocument> documents, SettingsContent content, FindingCollector findings) {
    var reader = new ContentReader(content, findings);
    boolean complete = true;
    for (SettingsDocument document : documents) {
      Optional<ObjectNode> root = DocumentReader.read(document, findings);
      complete &= root.isPresent();
      root.ifPresent(r -> reader.read(new Located<>(Location.rootOf(document.source()), r)));
    }
    return complete;
  }

  private static ParseResult resolve(
      Revision revision,
      SettingsContent content,
      List<BranchNode> tree,
      FindingCollector findings) {
    var regions = new TreeSet<RegionId>();
    content.regions.forEach(r -> regions.add(r.value().id()));
    Set<RegionId> regionIds = Collections.unmodifiableSet(regions);
    var selector = new BranchSelector(tree);
    new GranularityChecker(findings).check(tree);
    var instances = new InstanceValuesBuilder(tree, selector, regionIds, findings).build();
    var contradictions = new ContradictionChecker(tree, regionIds, content.links, findings);
    var builder = new EffectiveTableBuilder(tree, selector, regionIds, instances, contradictions);
    Map<CustomerId, EffectiveTable> tables = builder.build(content.customers);
    if (!findings.isEmpty()) {
      return new ParseResult.Rejected(findings.toList());
    }
    return new ParseResult.Accepted(
        new SettingsTree(
            revision,
            content,
            tree,
            selector,
            regionIds,
            tables,
            builder.kindsByFirm(),
            instances));
  }
}
