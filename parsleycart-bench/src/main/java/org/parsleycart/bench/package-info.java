/** Measurements of decisions and of whole paths, with their baselines; not shipped. */
package org.parsleycart.bench;
