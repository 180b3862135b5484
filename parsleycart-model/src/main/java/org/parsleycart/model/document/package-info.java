/**
 * Trees of mappings, sequences and scalars, and their YAML, JSON and MessagePack forms.
 *
 * <p>Settings files, configurations, platform rows and messages are all represented by this tree,
 * so that each type of the model needs only one mapping. Depends on no other package of the
 * project.
 */
package org.parsleycart.model.document;
